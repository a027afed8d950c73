"""The operators' configuration: queues, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class AdviceCost:
    """Say what one call for advice takes and how long its tickets last."""

    decide_s: float
    per_host_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Hold a queue; ``priority`` 0 goes first, ``team_required`` asks for a key."""

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
    """Hold a team's share and limit; ``limit`` 0 of a resource means no limit."""

    name: str
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Hold one version in full; ``text`` is the operators' own encoding."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    teams: dict[str, TeamEntitlement] = field(default_factory=dict)
    team_of_key: dict[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    text: bytes = b""

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of the path."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of this name."""
        return next((queue for queue in self.queues if queue.name == name), None)
