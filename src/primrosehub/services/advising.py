"""Obtain advice through the daemon with the fewest calls in progress.

The advice service handles one call at a time for each daemon that calls it, in the
order of arrival. The planner therefore holds back its requests and makes no more calls
at once than there are daemons to make them.
"""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass

from primrosehub.core.fleet import Advice
from primrosehub.core.logs import log
from primrosehub.core.peering import AdviceIs, AskAdvice, NoAdvice, PeerCard
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.platform.advice import AdviceClient, AdviceUnavailable
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING, PeerSilent

EXTRA_TIMEOUT_S = 1.5  # a call times out this long after its expected duration
PEER_FRESH_S = 0.8  # a peer must have answered a ping within this time
AVOID_AFTER_FAILURE_S = 2.0  # a daemon whose call failed is not used for this long
MAX_DAEMONS_PER_CALL = 2  # the second after the first was lost in the call


@dataclass(frozen=True, slots=True)
class _PeerLost:
    """Report that a daemon did not answer, so that another can make the call."""

    detail: str


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

    @property
    def staying_daemons(self) -> int:
        """Return how many of the available daemons are not leaving."""
        return len(self._usable_daemons(with_leaving=False))

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
        ask = AskAdvice(job, occurrence, step, tuple(hosts), cost_s + EXTRA_TIMEOUT_S)
        for _ in range(MAX_DAEMONS_PER_CALL):
            card = min(
                self._usable_daemons(),
                key=lambda daemon: self._calls_under_way[daemon.name],
            )
            answer = self._call_through(card.name, ask)
            self._metrics.count("advice_calls", outcome=type(answer).__name__)
            match answer:
                case AdviceIs(tickets, valid_s):
                    return Advice(tickets, valid_s)
                case NoAdvice(detail):
                    self._avoid(card, ask, detail)
                    return None
                case _PeerLost(detail):
                    self._avoid(card, ask, detail)
        return None

    def _call_through(
        self, name: str, ask: AskAdvice
    ) -> AdviceIs | NoAdvice | _PeerLost:
        self._calls_under_way[name] += 1
        try:
            if name == self._peering.own_card.name:
                return self._call_service(ask)
            return self._ask_peer(name, ask)
        finally:
            self._calls_under_way[name] -= 1

    def _avoid(self, card: PeerCard, ask: AskAdvice, reason: str) -> None:
        log("advice_missing", job=ask.job, step=ask.step, by=card.name, reason=reason)
        now = steady_s()
        for other, until in list(self._avoided_until.items()):
            if until <= now:
                del self._avoided_until[other]
        self._avoided_until[card.incarnation] = now + AVOID_AFTER_FAILURE_S

    def _usable_daemons(self, with_leaving: bool = True) -> list[PeerCard]:
        """Return the daemons to call through; only this one if all failed recently.

        A daemon that leaves goes on calling until it ends. It comes last, as another
        must repeat a call that is under way then.
        """
        now = steady_s()
        own_card = self._peering.own_card
        pongs = sorted(
            self._peering.recent_pongs(PEER_FRESH_S), key=lambda pong: pong.leaving
        )
        usable = [
            card
            for card in (
                own_card,
                *(pong.sender for pong in pongs if with_leaving or not pong.leaving),
            )
            if self._avoided_until.get(card.incarnation, now) <= now
        ]
        return usable or [own_card]

    def _ask_peer(self, name: str, ask: AskAdvice) -> AdviceIs | NoAdvice | _PeerLost:
        try:
            answer = self._peering.call(name, ask, ask.timeout_s + 0.1)
        except PeerSilent as error:
            return _PeerLost(str(error))
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
