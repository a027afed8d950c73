"""Discovery and liveness of the other daemons, and calls to and from them."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

import gevent
from gevent.event import Event

from primrosehub.border.address import parse_address
from primrosehub.border.codec import encode
from primrosehub.border.frames import (
    CallFailed,
    CallRefused,
    FrameClient,
    FrameServer,
)
from primrosehub.border.peer_codec import (
    check_card,
    decode_card,
    decode_message,
    encode_message,
)
from primrosehub.core.logs import log
from primrosehub.core.peering import (
    AskMembers,
    MembersAre,
    PeerCard,
    PeerMessage,
    Ping,
    Pong,
    ReceivedPong,
)
from primrosehub.core.rows import (
    PutRow,
    RowKey,
    RowsTransaction,
    StoreOutcomeUnknown,
    StoreRefused,
)
from primrosehub.kernel import Kernel, TaskGroup
from primrosehub.kernel.clock import steady_s
from primrosehub.services.names.cluster import (
    CLUSTER_CONFIG,
    OWNERSHIP,
    STORE,
    PeerSilent,
)

SHORT_PING_INTERVAL_S = 0.3  # three lost pings take a third of the take-over limit
LONG_PING_INTERVAL_S = 3.0  # for peers that neither are the owner nor may soon be
# For a watched peer that refuses connections, until it is certain that it stopped.
REFUSED_PING_INTERVAL_S = 0.1
PING_TIMEOUT_S = 0.5
SILENT_AFTER_S = 1.0
FREQUENTLY_PINGED_PEERS = 8  # those with the most processor power
MEMBERS_READ_INTERVAL_S = 10.0
FORGET_AFTER_S = 120.0  # then a silent peer is no longer pinged
MAX_CONNECTIONS = 512
MAX_IDLE_CONNECTIONS = 8
_MEMBERS_PART = ("member", "")


@dataclass(slots=True)
class _Peer:
    """Hold the state of one peer and the idle connections to it.

    ``last_pong`` is its latest news, from a ping or a pong.
    """

    card: PeerCard
    last_pong: Pong | None = None
    last_heard_at: float = float("-inf")
    refused_since: float | None = None
    leaving_since: float | None = None
    added_at: float = field(default_factory=steady_s)
    silent: bool = True
    ping_requested: Event = field(default_factory=Event)
    idle_connections: list[FrameClient] = field(default_factory=list)

    def note_pong(self, pong: Pong) -> None:
        """Keep a pong; a late one does not take back that the peer leaves."""
        now = steady_s()
        last = self.last_pong
        if last is None or last.sender.incarnation != pong.sender.incarnation:
            self.leaving_since = None
        if pong.leaving and self.leaving_since is None:
            self.leaving_since = now
        leaving = self.leaving_since is not None
        self.last_pong = replace(pong, leaving=leaving)
        self.last_heard_at, self.refused_since = now, None

    def received_pong(self, pong: Pong, now: float) -> ReceivedPong:
        """Return the last pong with its age."""
        leaving_s = 0.0 if self.leaving_since is None else now - self.leaving_since
        return ReceivedPong(pong, now - self.last_heard_at, leaving_s)

    def acquire(self) -> FrameClient:
        """Return an idle connection or a new one."""
        if self.idle_connections:
            return self.idle_connections.pop()
        return _client(self.card.address)

    def release(self, connection: FrameClient) -> None:
        """Keep a connection for the next call, or close it if enough are idle."""
        if len(self.idle_connections) < MAX_IDLE_CONNECTIONS:
            self.idle_connections.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle_connections:
            self.idle_connections.pop().close()


class PeeringService:
    """Ping each peer in a task of its own and answer calls from peers."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        self._own_card = PeerCard(
            name=settings.name,
            address=settings.peer,
            zone=settings.zone,
            incarnation=uuid.uuid4().hex[:16],
            power=settings.cpu_share * settings.cores,
        )
        self._peers: dict[str, _Peer] = {}
        self._watched_peer = ""
        self._pong_heard = Event()
        self._handlers: dict[type, Callable[..., PeerMessage]] = {
            Ping: self.answer_ping,
            AskMembers: lambda _: MembersAre(tuple(self._all_cards())),
        }

    @property
    def own_card(self) -> PeerCard:
        """Return this daemon's own card."""
        return self._own_card

    def start(self, stack: ExitStack) -> None:
        """Listen for calls, discover the peers and ping them."""
        self._store = self._kernel.find(STORE)
        self._config = self._kernel.find(CLUSTER_CONFIG)
        self._ownership = self._kernel.find(OWNERSHIP)
        address = parse_address(self._own_card.address)
        server = FrameServer(
            address.ip, address.port, self._handle_request, MAX_CONNECTIONS
        )
        server.start()
        stack.callback(server.stop)
        self._tasks: TaskGroup = self._kernel.tasks(stack)
        self._tasks.spawn("join", self._discover_peers)
        stack.callback(self._close_peers)

    def call(self, name: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Return a peer's answer; raise PeerSilent."""
        peer = self._peers.get(name)
        if peer is None:
            raise PeerSilent(f"no peer {name}")
        connection = peer.acquire()
        try:
            answer = decode_message(connection.call(encode_message(message), timeout_s))
        except CallFailed as error:
            raise PeerSilent(str(error)) from None
        except ValueError as error:
            connection.close()
            raise PeerSilent(f"unreadable answer: {error}") from None
        peer.release(connection)
        return answer

    def register_handler(
        self, kind: type[PeerMessage], handler: Callable[..., PeerMessage]
    ) -> None:
        """Register the function that answers all messages of a kind."""
        self._handlers[kind] = handler

    def recent_pongs(self, within_s: float) -> Sequence[Pong]:
        """Return the last pong of each peer heard in the last ``within_s`` seconds."""
        since = steady_s() - within_s
        return [
            peer.last_pong
            for peer in self._peers.values()
            if peer.last_pong is not None and peer.last_heard_at >= since
        ]

    def reachable_pongs(self, within_s: float) -> Sequence[ReceivedPong]:
        """Return recent pongs with ages, without peers that now refuse connections."""
        now = steady_s()
        return [
            peer.received_pong(peer.last_pong, now)
            for peer in self._peers.values()
            if peer.last_pong is not None
            and now - peer.last_heard_at <= within_s
            and peer.refused_since is None
        ]

    def refused_s(self, name: str) -> float:
        """Return for how long a peer has been refusing connections, 0 if it is not."""
        peer = self._peers.get(name)
        if peer is None or peer.refused_since is None:
            return 0.0
        return steady_s() - peer.refused_since

    def watch_closely(self, name: str) -> None:
        """Ping this peer at the short interval, in place of the peer watched before."""
        if name != self._watched_peer:
            self._watched_peer = name
            if name in self._peers:
                self._peers[name].ping_requested.set()

    def ping_now(self) -> None:
        """Ping all peers immediately, to spread a change of this daemon's state."""
        for peer in self._peers.values():
            peer.ping_requested.set()

    def wait_for_pong(self, timeout_s: float) -> None:
        """Wait until a peer is heard, for at most ``timeout_s``."""
        self._pong_heard.clear()
        self._pong_heard.wait(timeout_s)

    def _all_cards(self) -> list[PeerCard]:
        return [self._own_card, *(peer.card for peer in self._peers.values())]

    def _handle_request(self, data: bytes) -> bytes:
        message = decode_message(data)
        handler = self._handlers.get(type(message))
        if handler is None:
            raise ValueError(f"no service handles {type(message).__name__}")
        return encode_message(handler(message))

    def _own_state(self) -> dict[str, object]:
        return {
            "sender": self._own_card,
            "owner": self._ownership.known_owner,
            "config_version": self._config.current.version,
            "store_reached": self._store.reached_directly,
            "leaving": self._kernel.stopping.is_set(),
            "slow": self._ownership.slow,
        }

    def answer_ping(self, ping: Ping) -> Pong:
        """Record a peer's news and return this daemon's."""
        self._record_pong(
            Pong(
                ping.sender,
                ping.owner,
                ping.config_version,
                ping.store_reached,
                ping.leaving,
                ping.slow,
            )
        )
        return Pong(**self._own_state())  # type: ignore[arg-type]

    def _record_pong(self, pong: Pong) -> None:
        card = pong.sender
        self._add_or_update(card)
        peer = self._peers[card.name]
        if peer.silent:
            peer.silent = False
            log("peer_heard", peer=card.name, incarnation=card.incarnation)
        peer.note_pong(pong)
        self._pong_heard.set()

    def _add_or_update(self, card: PeerCard) -> None:
        if card.name == self._own_card.name:
            return
        peer = self._peers.get(card.name)
        if peer is None:
            self._peers[card.name] = _Peer(card)
            self._tasks.spawn(f"peer {card.name}", self._ping_repeatedly, card.name)
        elif peer.card != card:
            if peer.card.address != card.address:
                peer.close()
            peer.card = card

    def _ping_repeatedly(self, name: str) -> None:
        peer = self._peers[name]
        address = peer.card.address
        connection = _client(address)
        while steady_s() - max(peer.last_heard_at, peer.added_at) < FORGET_AFTER_S:
            if peer.card.address != address:
                connection.close()
                address = peer.card.address
                connection = _client(address)
            self._ping(peer, connection)
            peer.ping_requested.wait(self._ping_interval_s(peer))
            peer.ping_requested.clear()
        connection.close()
        peer.close()
        del self._peers[name]
        log("peer_forgotten", peer=name, silent_s=FORGET_AFTER_S)

    def _ping(self, peer: _Peer, connection: FrameClient) -> None:
        try:
            ping = Ping(**self._own_state())  # type: ignore[arg-type]
            answer = decode_message(
                connection.call(encode_message(ping), PING_TIMEOUT_S)
            )
            if isinstance(answer, Pong):
                self._record_pong(answer)
        except (CallFailed, ValueError) as error:
            if not isinstance(error, CallRefused):
                peer.refused_since = None
            elif peer.refused_since is None:
                peer.refused_since = steady_s()
            silent_s = steady_s() - peer.last_heard_at
            if not peer.silent and silent_s > SILENT_AFTER_S:
                peer.silent = True
                log("peer_silent", peer=peer.card.name, reason=str(error))

    def _ping_interval_s(self, peer: _Peer) -> float:
        if (
            peer.card.name == self._watched_peer
            and not peer.silent
            and peer.refused_since
        ):
            return REFUSED_PING_INTERVAL_S
        return (
            SHORT_PING_INTERVAL_S
            if self._is_pinged_frequently(peer.card)
            else LONG_PING_INTERVAL_S
        )

    def _is_pinged_frequently(self, card: PeerCard) -> bool:
        if (
            card.name == self._watched_peer
            or len(self._peers) <= FREQUENTLY_PINGED_PEERS
        ):
            return True
        strongest = sorted(self._all_cards(), key=lambda one: (-one.power, one.name))
        return card in strongest[:FREQUENTLY_PINGED_PEERS]

    def _discover_peers(self) -> None:
        for address in self._kernel.settings.seed_peers:
            self._tasks.spawn(f"seed {address}", self._read_members_from_seed, address)
        own_row_written = False
        while True:
            try:
                if not own_row_written:
                    self._write_own_row()
                    own_row_written = True
                self._read_members()
            except (StoreRefused, StoreOutcomeUnknown) as error:
                log("members_not_read", reason=str(error))
                gevent.sleep(1.0)
            else:
                gevent.sleep(MEMBERS_READ_INTERVAL_S)

    def _write_own_row(self) -> None:
        key = RowKey(*_MEMBERS_PART, self._own_card.address)
        self._store.commit(
            RowsTransaction(writes=(PutRow(key, encode(self._own_card)),))
        )

    def _read_members(self) -> None:
        for row in self._store.read_part(*_MEMBERS_PART).rows:
            try:
                card = decode_card(row.value)
            except ValueError as error:
                log("member_unreadable", key=row.key.key, reason=str(error))
                continue
            if card.name not in self._peers:
                self._add_or_update(card)

    def _read_members_from_seed(self, address: str) -> None:
        if address == self._own_card.address:
            return
        try:
            connection = _client(address)
        except ValueError as error:
            log("seed_unreadable", reason=str(error))
            return
        try:
            answer = decode_message(
                connection.call(encode_message(AskMembers()), PING_TIMEOUT_S)
            )
            if isinstance(answer, MembersAre):
                self._add_cards(answer.cards, address)
        except (CallFailed, ValueError) as error:
            log("seed_silent", address=address, reason=str(error))
        finally:
            connection.close()

    def _add_cards(self, cards: Sequence[PeerCard], source: str) -> None:
        for card in cards:
            try:
                check_card(card)
            except ValueError as error:
                log("member_unreadable", key=source, reason=str(error))
                continue
            if card.name not in self._peers:
                self._add_or_update(card)

    def _close_peers(self) -> None:
        for peer in self._peers.values():
            peer.close()


def _client(address: str) -> FrameClient:
    parsed = parse_address(address)
    return FrameClient(parsed.ip, parsed.port)
