"""Access to the row store: directly, or through a peer if the store refuses us."""

from __future__ import annotations

import random
from contextlib import ExitStack

import gevent
from gevent.event import Event

from primrosehub.border.address import parse_address
from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub.core.logs import log
from primrosehub.core.peering import RelayCall, RelayFailed, RelayReply
from primrosehub.core.rows import (
    RowKey,
    RowsOutcome,
    RowsPage,
    RowsTransaction,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
)
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.platform.store import RowStore, StoreCall, StoreReply
from primrosehub.policy.answer_timeout import AnswerTimeout
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING, PeerSilent

PROBE_INTERVAL_S = 0.5  # while the store refuses direct calls or does not answer
MAX_PONG_AGE_S = 1.0  # of a peer that may forward calls
MAX_RELAY_ATTEMPTS = 2
RELAY_OVERHEAD_S = 0.3  # for the round trip to the peer
_PROBE_KEY = RowKey("owner", "s", "cell")


class StoreService:
    """Send calls to the store and check whether it serves this daemon."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        address = parse_address(kernel.settings.store)
        self._endpoint = HttpEndpoint(address.ip, address.port)
        self._store_client = RowStore(self._call)
        self._direct_client = RowStore(self._call_directly)
        self._reached_directly = True
        self._unreachable_since = float("inf")
        self._probe_wanted = Event()
        self._answer_timeout = AnswerTimeout()

    @property
    def reached_directly(self) -> bool:
        """Return whether the store answered this daemon's last direct call."""
        return self._reached_directly

    @property
    def unreachable_s(self) -> float:
        """Return for how long no known daemon has reached the store, 0 if one does."""
        if self._reached_directly or self._relay_candidates():
            return 0.0
        return steady_s() - self._unreachable_since

    def start(self, stack: ExitStack) -> None:
        """Forward calls for peers, and probe the store when it may not serve us."""
        self._peering = self._kernel.find(PEERING)
        self._metrics = self._kernel.find(METRICS)
        self._peering.register_handler(RelayCall, self._handle_relay_call)
        self._kernel.tasks(stack).spawn("store-probe", self._probe)
        stack.callback(self._endpoint.close)

    def commit(self, transaction: RowsTransaction) -> RowsOutcome:
        """Apply a transaction; raise StoreRefused or StoreOutcomeUnknown."""
        return self._store_client.commit(transaction, self._timeout_s())

    def read_one(self, key: RowKey) -> StoredRow | None:
        """Return a row or None; raise StoreRefused."""
        return self._store_client.read_one(key, self._timeout_s())

    def read_part(self, table: str, part: str) -> RowsPage:
        """Return all rows of a part; raise StoreRefused."""
        return self._store_client.read_part(table, part, self._timeout_s())

    def parts(self, table: str) -> list[str]:
        """Return the parts of a table; raise StoreRefused."""
        return self._store_client.parts(table, self._timeout_s())

    def changes(self, table: str, after: int, wait_s: float) -> RowsPage:
        """Return the changes after a version, waiting up to ``wait_s`` for one.

        Raise StoreRefused or HistoryLost.
        """
        return self._store_client.changes(
            table, after, wait_s, wait_s + self._timeout_s()
        )

    def _timeout_s(self) -> float:
        return self._answer_timeout.timeout_s(steady_s())

    def _call(self, call: StoreCall) -> StoreReply:
        if self._reached_directly:
            try:
                reply = self._call_directly(call)
            except StoreRefused as error:
                self._mark_unreachable(str(error))
            else:
                match reply.status:
                    case 429:
                        # Either this part is busy, or the store refuses this daemon.
                        self._probe_wanted.set()
                        raise StoreRefused(f"status 429: {reply.body[:100]!r}")
                    case 503:
                        self._mark_unreachable("status 503")
                    case _:
                        return reply
        return self._call_through_peer(call)

    def _call_directly(self, call: StoreCall) -> StoreReply:
        started_at = steady_s()
        try:
            response = self._endpoint.exchange(
                call.method,
                call.target,
                (("Content-Type", "application/json"),) if call.body else (),
                call.body,
                timeout_s=call.timeout_s,
            )
        except NotSent as error:
            self._metrics.count("store_calls", outcome="not_sent")
            raise StoreRefused(str(error)) from None
        except NoAnswer as error:
            self._metrics.count("store_calls", outcome="no_answer")
            self._endpoint.close()
            if not call.waits:
                self._mark_unreachable(f"{error} ({call.timeout_s:.1f} s)")
            raise StoreOutcomeUnknown(str(error)) from None
        self._metrics.count("store_calls", outcome=str(response.status))
        if not call.waits:
            now = steady_s()
            self._answer_timeout.note_answer(now, now - started_at)
            self._metrics.observe("store_seconds", now - started_at)
        return StoreReply(response.status, response.body)

    def _call_through_peer(self, call: StoreCall) -> StoreReply:
        candidates = self._relay_candidates()
        message = RelayCall(
            call.method, call.target, call.body, call.timeout_s, call.waits
        )
        for name in random.sample(candidates, min(MAX_RELAY_ATTEMPTS, len(candidates))):
            try:
                answer = self._peering.call(
                    name, message, call.timeout_s + RELAY_OVERHEAD_S
                )
            except PeerSilent as error:
                raise StoreOutcomeUnknown(f"relay {name}: {error}") from None
            self._metrics.count("store_relayed", outcome=type(answer).__name__)
            match answer:
                case RelayReply(status, body):
                    return StoreReply(status, body)
                case RelayFailed(False, detail):
                    raise StoreOutcomeUnknown(f"relay {name}: {detail}")
        raise StoreRefused("the store does not serve this daemon or any peer")

    def _relay_candidates(self) -> list[str]:
        return [
            pong.sender.name
            for pong in self._peering.recent_pongs(MAX_PONG_AGE_S)
            if pong.store_reached
        ]

    def _handle_relay_call(self, call: RelayCall) -> RelayReply | RelayFailed:
        try:
            reply = self._call_directly(
                StoreCall(
                    call.method, call.target, call.body, call.timeout_s, call.waits
                )
            )
        except StoreRefused as error:
            return RelayFailed(True, str(error))
        except StoreOutcomeUnknown as error:
            return RelayFailed(False, str(error))
        return RelayReply(reply.status, reply.body)

    def _mark_unreachable(self, reason: str) -> None:
        if self._reached_directly:
            self._reached_directly, self._unreachable_since = False, steady_s()
            log("store_lost", reason=reason)
        self._probe_wanted.set()

    def _probe(self) -> None:
        """Check whether the store serves this daemon, whenever that is uncertain."""
        while True:
            self._probe_wanted.wait()
            since = steady_s()
            while True:
                try:
                    self._direct_client.read_one(_PROBE_KEY, self._timeout_s())
                except StoreRefused as error:
                    self._mark_unreachable(str(error))
                    gevent.sleep(PROBE_INTERVAL_S)
                else:
                    break
            if not self._reached_directly:
                self._reached_directly = True
                log("store_regained", after_s=round(steady_s() - since, 3))
            self._probe_wanted.clear()
            gevent.sleep(PROBE_INTERVAL_S)
