"""Choose the backend server for a quick request, or refuse a request that is late."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

SLOW_START_LIMIT = 1  # requests in flight to a backend server in slow start


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Hold what routing needs to know of one backend server.

    ``limit`` is the number of slots there that this daemon may use. ``slow_start``
    lowers it to ``SLOW_START_LIMIT``.
    """

    name: str
    limit: int
    in_flight: int
    mean_s: float
    ejected: bool = False
    slow_start: bool = False

    @property
    def free(self) -> int:
        """Return how many more requests may be sent there now."""
        limit = min(self.limit, SLOW_START_LIMIT) if self.slow_start else self.limit
        return 0 if self.ejected else limit - self.in_flight


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request to this backend server now."""

    name: str


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """Wait until a slot is free; ``expected_s`` is the likely wait."""

    expected_s: float


@dataclass(frozen=True, slots=True)
class RefuseLate:
    """Refuse at once: the request would wait longer than its deadline."""

    expected_s: float


@dataclass(frozen=True, slots=True)
class RefuseNoBackend:
    """Refuse at once: no backend server of the service is usable."""


RoutingDecision = SendTo | WaitForSlot | RefuseLate | RefuseNoBackend


def route(
    backends: Sequence[BackendLoad],
    tried: frozenset[str],
    waiting: int,
    left_s: float,
) -> RoutingDecision:
    """Choose the free slot with the shortest expected time.

    ``waiting`` is the number of requests queued ahead of this one.
    """
    usable = [b for b in backends if not b.ejected and b.limit > 0]
    if not usable:
        return RefuseNoBackend()
    fresh = [b for b in usable if b.name not in tried] or usable
    free = [b for b in fresh if b.free > 0]
    if free and not waiting:
        best = min(free, key=lambda b: (b.mean_s * (1 + b.in_flight), b.name))
        return SendTo(best.name)
    slots = sum(b.limit for b in usable)
    mean_s = sum(b.mean_s * b.limit for b in usable) / slots
    expected_s = mean_s * (waiting + 1) / slots
    if expected_s + mean_s > left_s:
        return RefuseLate(expected_s)
    return WaitForSlot(expected_s)


def may_eject(ejected: int, known: int, max_share: float) -> bool:
    """Tell whether one more backend server may be taken out of use."""
    return ejected + 1 <= max(1, int(known * max_share)) and known > 1
