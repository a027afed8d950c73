"""Exchange news with the other daemons, with one task for each peer."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field

from gevent.event import Event

from primrosehub.border.codec import decode, encode
from primrosehub.border.frames import CallFailed, FrameClient, FrameServer
from primrosehub.core.logs import log
from primrosehub.core.members import Member, PeerNews, ShardSummary
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import CONFIGURATION, DISPATCH, MEMBERSHIP, TABLE

CALL_TIMEOUT_S = 1.0
# If no read of the table sent in the last STALE_TABLE_S was answered, this daemon
# calls every peer, at the interval STALE_TABLE_EXCHANGE_S.
STALE_TABLE_S = 1.5
STALE_TABLE_EXCHANGE_S = 1.0
MAX_CONNECTIONS = 256
FRAME_LENGTH_BYTES = 4  # length prefix of a frame, counted as control traffic


@dataclass(slots=True)
class PeerLink:
    """Hold the state of the exchange with one peer.

    ``name`` is empty for a seed peer that is not yet known as a member.
    ``inbox_shards``, ``shards_changed`` and the ``wants_`` fields go into the next
    news. ``sent_summaries`` are the last summaries sent, by shard.
    """

    address: str
    name: str
    wake: Event = field(default_factory=Event)
    inbox_shards: set[str] = field(default_factory=set)
    shards_changed: bool = False
    sent_summaries: dict[str, ShardSummary] = field(default_factory=dict)
    wants_summaries: bool = True
    wants_config: bool = False
    news_received_at: float = float("-inf")
    news: PeerNews | None = None
    closed: bool = False


class PeersService:
    """Exchange news with each peer regularly, and answer the peers' calls."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings
        self._links: dict[str, PeerLink] = {}
        self._own_summaries: dict[str, ShardSummary] = {}
        self._peer_summaries: dict[str, ShardSummary] = {}

    def start(self, stack: ExitStack) -> None:
        """Answer peers' calls and start one task for each known peer."""
        self._configuration = self._kernel.find(CONFIGURATION)
        self._membership = self._kernel.find(MEMBERSHIP)
        self._metrics = self._kernel.find(METRICS)
        self._count_bytes = self._metrics.byte_counter("peers")
        self._table = self._kernel.find(TABLE)
        self._tasks = self._kernel.tasks(stack)
        self._serve(stack)
        for seed in self._settings.seed_peers:
            self._link(str(seed), "")
        self._tasks.spawn("peers", self._follow_members)

    def summaries(self) -> Mapping[str, ShardSummary]:
        """Return the latest known summary of each shard."""
        return self._peer_summaries | self._own_summaries

    def publish(self, summaries: Sequence[ShardSummary]) -> None:
        """Set the summaries of this daemon's own shards."""
        self._own_summaries = {summary.shard: summary for summary in summaries}

    def notify_inbox(self, shard: str) -> None:
        """Tell the owner of a shard immediately that its inbox has changed."""
        view = self._membership.view
        owner = view.owners[shard][0].owner if shard in view.owners else ""
        for member in view.live:
            if member.incarnation == owner and member.peer_address in self._links:
                link = self._links[member.peer_address]
                link.inbox_shards.add(shard)
                link.wake.set()

    def notify_shards(self) -> None:
        """Tell every scheduler immediately that shard rows have changed."""
        for member in self._membership.view.live:
            link = self._links.get(member.peer_address)
            if link and member.role == "scheduler":
                link.shards_changed = True
                link.wake.set()

    def recent_news(self, within_s: float) -> Sequence[PeerNews]:
        """Return the last news of each peer heard in the last ``within_s`` seconds."""
        now = time.monotonic()
        return [
            _with_current_age(link.news, now - link.news_received_at)
            for link in self._links.values()
            if link.news and now - link.news_received_at <= within_s
        ]

    def _serve(self, stack: ExitStack) -> None:
        address = self._settings.peer
        server = FrameServer(
            str(address.ip), address.port, self._answer_frame, MAX_CONNECTIONS
        )
        server.start()
        stack.callback(server.stop)

    def _answer_frame(self, data: bytes) -> bytes:
        return self._encode(self._answer(self._decode(data)))

    def _encode(self, news: PeerNews) -> bytes:
        data = encode(news)
        self._count_bytes(len(data) + FRAME_LENGTH_BYTES)
        return data

    def _decode(self, data: bytes) -> PeerNews:
        self._count_bytes(len(data) + FRAME_LENGTH_BYTES)
        return decode(PeerNews, data)

    def _answer(self, news: PeerNews) -> PeerNews:
        self._metrics.count("peer_calls_answered")
        link = self._link_of_sender(news.sender)
        if link is None:
            # A daemon started during an outage of the table has no row there, but needs
            # the configuration nevertheless.
            return self._build_news(PeerLink("", ""), with_config=news.wants_config)
        if news.wants_summaries:
            link.sent_summaries.clear()
        self._apply_news(link, news)
        answer = self._build_news(link, with_config=news.wants_config)
        link.sent_summaries.update({s.shard: s for s in answer.summaries})
        return answer

    def _link_of_sender(self, sender: str) -> PeerLink | None:
        for member in self._membership.view.known:
            if member.incarnation == sender:
                return self._link(member.peer_address, member.name)
        self._membership.refresh()
        return None

    def _follow_members(self) -> None:
        number = 0
        while True:
            view = self._membership.next_view(number, self._settings.timing.renew_s)
            number = view.number
            for member in view.live:
                self._link(member.peer_address, member.name)
            self._drop_unknown(view.known)

    def _drop_unknown(self, known: tuple[Member, ...]) -> None:
        addresses = {member.peer_address for member in known}
        addresses |= {str(seed) for seed in self._settings.seed_peers}
        for address in set(self._links) - addresses:
            link = self._links.pop(address)
            link.closed = True
            link.wake.set()

    def _link(self, address: str, name: str) -> PeerLink:
        if address not in self._links:
            link = PeerLink(address, name)
            self._links[address] = link
            if address != str(self._settings.peer):
                self._tasks.spawn(f"peer-{address}", self._run_link, link)
        return self._links[address]

    def _run_link(self, link: PeerLink) -> None:
        """Exchange news with one peer until its link is closed."""
        ip, _, port = link.address.rpartition(":")
        client = FrameClient(ip.strip("[]"), int(port))
        try:
            while not link.closed:
                notified = link.wake.wait(self._exchange_interval_s())
                link.wake.clear()
                if not link.closed and (notified or self._is_due(link)):
                    self._exchange(link, client)
        finally:
            client.close()

    def _exchange_interval_s(self) -> float:
        if self._table.age_s > STALE_TABLE_S:
            return STALE_TABLE_EXCHANGE_S
        return self._settings.timing.exchange_s

    def _is_due(self, link: PeerLink) -> bool:
        """Return whether this daemon should call the peer now.

        Of two daemons, the one with the lesser address calls. The other one calls
        too if it has heard nothing for two intervals, and either one does while its
        reads of the table are stale.
        """
        if self._table.age_s > STALE_TABLE_S or str(self._settings.peer) < link.address:
            return True
        silent_s = time.monotonic() - link.news_received_at
        return silent_s > 2 * self._settings.timing.exchange_s

    def _exchange(self, link: PeerLink, client: FrameClient) -> None:
        news = self._build_news(link)
        try:
            answer = self._decode(client.call(self._encode(news), CALL_TIMEOUT_S))
        except (CallFailed, ValueError) as error:
            link.wants_summaries = True
            log("peer_silent", peer=link.address, reason=str(error))
            return
        self._metrics.count("peer_calls_made")
        link.inbox_shards.difference_update(news.inbox_shards)
        link.shards_changed = False
        link.wants_summaries = False
        link.wants_config = False
        link.sent_summaries.update({s.shard: s for s in news.summaries})
        self._apply_news(link, answer)

    def _build_news(self, link: PeerLink, with_config: bool = False) -> PeerNews:
        config = self._configuration.current
        return PeerNews(
            sender=self._membership.own_member.incarnation,
            config_version=config.version,
            table_age_s=min(self._table.age_s, 86400.0),
            summaries=tuple(
                s
                for s in self._own_summaries.values()
                if link.sent_summaries.get(s.shard) != s
            ),
            inbox_shards=tuple(link.inbox_shards),
            shards_changed=link.shards_changed,
            wants_summaries=link.wants_summaries,
            wants_config=link.wants_config,
            config_text=config.text if with_config else "",
        )

    def _apply_news(self, link: PeerLink, news: PeerNews) -> None:
        link.news = news
        link.news_received_at = time.monotonic()
        for summary in news.summaries:
            known = self._peer_summaries.get(summary.shard)
            if known is None or known.epoch <= summary.epoch:
                self._peer_summaries[summary.shard] = summary
        if news.config_text:
            self._configuration.offer(news.config_version, news.config_text)
        elif news.config_version > self._configuration.current.version:
            self._configuration.check_now()
            link.wants_config = True
            link.wake.set()
        if news.shards_changed:
            self._membership.refresh()
        if self._kernel.has(DISPATCH):
            for shard in news.inbox_shards:
                self._kernel.find(DISPATCH).inbox_changed(shard)


def _with_current_age(news: PeerNews, age_s: float) -> PeerNews:
    return PeerNews(news.sender, news.config_version, news.table_age_s + age_s)
