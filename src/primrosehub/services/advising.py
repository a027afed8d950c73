"""Obtain advice through the daemon with the fewest calls in progress.

The advice service handles one call at a time for each daemon that calls it, in the
order of arrival. The planner therefore holds back its requests and makes no more calls
at once than there are daemons to make them.
"""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack

from primrosehub.core.fleet import Advice
from primrosehub.core.logs import log
from primrosehub.core.peering import AdviceIs, AskAdvice, NoAdvice
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.platform.advice import AdviceClient, AdviceUnavailable
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING, PeerSilent

EXTRA_TIMEOUT_S = 1.5  # a call times out this long after its expected duration
PEER_FRESH_S = 0.8  # a peer must have answered a ping within this time
AVOID_AFTER_FAILURE_S = 2.0  # a daemon whose call failed is not used for this long


class AdvisingService:
    """Distribute calls over the daemons and count those in progress on each."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        address = kernel.settings.advice
        self._client = AdviceClient(address) if address else None
        self._calls_under_way: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}

    @property
    def available_daemons(self) -> int:
        """Return how many daemons can currently call the advice service."""
        return len(self._usable_daemons())

    def start(self, stack: ExitStack) -> None:
        """Register the handler for peers' requests."""
        self._peering = self._kernel.find(PEERING)
        self._metrics = self._kernel.find(METRICS)
        self._peering.register_handler(AskAdvice, self._call_service)
        if self._client is not None:
            stack.callback(self._client.close)

    def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], cost_s: float
    ) -> Advice | None:
        """Return advice, or None if none could be obtained."""
        own_name = self._peering.own_card.name
        name = min(
            self._usable_daemons(),
            key=lambda daemon: (self._calls_under_way[daemon], daemon != own_name),
        )
        ask = AskAdvice(job, occurrence, step, tuple(hosts), cost_s + EXTRA_TIMEOUT_S)
        self._calls_under_way[name] += 1
        try:
            answer = (
                self._call_service(ask)
                if name == own_name
                else self._ask_peer(name, ask)
            )
        finally:
            self._calls_under_way[name] -= 1
        self._metrics.count("advice_calls", outcome=type(answer).__name__)
        match answer:
            case AdviceIs(tickets, valid_s):
                return Advice(tickets, valid_s)
            case NoAdvice(detail):
                log("advice_missing", job=job, step=step, by=name, reason=detail)
                self._avoided_until[name] = steady_s() + AVOID_AFTER_FAILURE_S
        return None

    def _usable_daemons(self) -> list[str]:
        """Return the daemons to call through; only this one if all failed recently."""
        now = steady_s()
        own_name = self._peering.own_card.name
        peers = [
            pong.sender.name
            for pong in self._peering.recent_pongs(PEER_FRESH_S)
            if not pong.leaving
        ]
        usable = [
            name
            for name in (own_name, *peers)
            if self._avoided_until.get(name, now) <= now
        ]
        return usable or [own_name]

    def _ask_peer(self, name: str, ask: AskAdvice) -> AdviceIs | NoAdvice:
        try:
            answer = self._peering.call(name, ask, ask.timeout_s + 0.1)
        except PeerSilent as error:
            return NoAdvice(str(error))
        if isinstance(answer, AdviceIs | NoAdvice):
            return answer
        return NoAdvice(f"unexpected answer {type(answer).__name__}")

    def _call_service(self, ask: AskAdvice) -> AdviceIs | NoAdvice:
        if self._client is None:
            return NoAdvice("the settings name no advice service")
        try:
            advice = self._client.advise(
                ask.job, ask.occurrence, ask.step, list(ask.hosts), ask.timeout_s
            )
        except AdviceUnavailable as error:
            return NoAdvice(str(error))
        return AdviceIs(advice.tickets, advice.valid_s)
