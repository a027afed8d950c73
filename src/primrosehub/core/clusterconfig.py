"""The operators' configuration: queues, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class AdviceCost:
    """Describe how long a call for advice takes and how long its tickets are valid.

    The call takes ``decide_s`` plus ``per_host_s`` for each worker host asked about.
    """

    decide_s: float
    per_host_s: float
    valid_s: float

    def call_s(self, hosts: int) -> float:
        """Return how long a call about this many worker hosts takes."""
        return self.decide_s + self.per_host_s * hosts


@dataclass(frozen=True, slots=True)
class Queue:
    """Hold a queue.

    ``priority`` 0 is the highest. ``team_required`` rejects callers without a key.
    After its submission, a job may take ``slack_factor`` times the estimate of its
    longest chain of steps, plus ``target_s``.
    """

    name: str
    host: str
    prefix: str
    service: str
    team_required: bool
    priority: int
    max_attempts: int
    slack_factor: float
    target_s: float
    timeout_s: float
    advice: AdviceCost | None = None


@dataclass(frozen=True, slots=True)
class TeamEntitlement:
    """Hold a team's weight and limit; a resource with ``limit`` 0 is unlimited."""

    name: str
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Hold one version of the configuration; ``text`` is what the operators wrote."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    teams: dict[str, TeamEntitlement] = field(default_factory=dict)
    team_of_key: dict[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    text: bytes = b""

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the host's queue whose prefix is the longest match for the path."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue with this name, or None."""
        return next((queue for queue in self.queues if queue.name == name), None)
