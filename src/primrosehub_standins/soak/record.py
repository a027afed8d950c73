"""What a soak saw from outside the system: callers, hosts and its own trouble."""

from __future__ import annotations

from dataclasses import dataclass, field

# Of the users' rules; in seconds.
CONTACT_WINDOW_S = 3.0
CANCEL_S = 3.0
IDLE_S = 3.0
MAX_MEMORY_MB = 300.0


@dataclass(slots=True)
class SentJob:
    """Hold a job as its caller sent it, and what the caller was told.

    ``cpu_m`` and ``after`` list, by step, a task's need and the earlier steps.
    ``accepted_at`` is the time of the first acceptance, None if there was none.
    ``rejected`` tells that each submission was answered as not accepted.
    ``cancel_sent`` tells that a cancellation was sent, ``cancelled_at`` when one was
    first acknowledged. ``state`` is what was shown long after the traffic, and
    ``later_state`` what was shown after a further look, if it was not completed.
    ``gang`` tells that the tasks of a step start together.
    """

    id: str
    tasks: tuple[int, ...]
    cpu_m: tuple[int, ...]
    after: tuple[tuple[int, ...], ...]
    accepted_at: float | None = None
    rejected: bool = False
    cancel_sent: bool = False
    cancelled_at: float | None = None
    state: str = ""
    later_state: str = ""
    gang: bool = False


@dataclass(slots=True)
class Run:
    """Hold an attempt on a worker host.

    ``how`` is the kind of its end, "lost" after a crash of the host, "" if it runs on.
    ``noted_at`` is when its end was acknowledged; ``lapsed`` tells that the lease of
    the host had lapsed between the two. ``epoch`` is that of the start order.
    """

    task: str
    attempt: int
    host: str
    epoch: int
    started_at: float
    ended_at: float = float("inf")
    how: str = ""
    noted_at: float | None = None
    lapsed: bool = False

    @property
    def job(self) -> str:
        """Return the id of the job."""
        return self.task.partition(".")[0]

    @property
    def step(self) -> int:
        """Return the number of the step."""
        return int(self.task.split(".")[2])


@dataclass(frozen=True, slots=True)
class Disruption:
    """Hold a span in which a node, or each one with the name "", was disturbed."""

    node: str
    began_at: float
    ended_at: float
    what: str


@dataclass(slots=True)
class Record:
    """Hold all of one run.

    ``owners`` names the daemon of each epoch. ``own_ends`` names daemons that ended by
    themselves, ``memory_mb`` is each daemon's peak. ``capacity_m`` is that of each of
    ``host_count`` hosts. Jobs were asked for at ``asked_at``, and the hosts looked at
    until ``looked_until``.
    """

    jobs: dict[str, SentJob] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    owners: dict[int, str] = field(default_factory=dict)
    own_ends: list[str] = field(default_factory=list)
    memory_mb: dict[str, float] = field(default_factory=dict)
    capacity_m: int = 0
    host_count: int = 0
    asked_at: float = 0.0
    looked_until: float = 0.0

    def in_touch(self, node: str, at: float) -> bool:
        """Tell whether a node was undisturbed for the contact window before."""
        return not any(
            one.node in ("", node)
            and one.began_at <= at
            and one.ended_at > at - CONTACT_WINDOW_S
            for one in self.disruptions
        )
