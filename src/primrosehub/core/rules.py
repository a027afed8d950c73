"""The configuration: teams, keys, queues, services and defaults."""

from __future__ import annotations

from dataclasses import dataclass, field

from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Team:
    """Give a team its weight when the cell is full and its upper limit."""

    name: str
    share: int
    limit: Resources


@dataclass(frozen=True, slots=True)
class Key:
    """Grant a key, known by the SHA-256 of its secret, to a team."""

    sha256: str
    team: str


@dataclass(frozen=True, slots=True)
class ForTeams:
    """Admit only the named teams, each by its own key."""

    teams: frozenset[str]


@dataclass(frozen=True, slots=True)
class OpenToAll:
    """Admit everyone; charge work without a key to the named team."""

    team: str


Access = ForTeams | OpenToAll


@dataclass(frozen=True, slots=True)
class Queue:
    """Name a queue for jobs and who may use it."""

    name: str
    access: Access


@dataclass(frozen=True, slots=True)
class BackendService:
    """Name a service that answers quick requests and who may call it."""

    name: str
    access: Access
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Default:
    """Give the task size and run time for a kind of work that names none."""

    kind: str
    size: Resources
    runtime_s: float


Rule = Team | Key | Queue | BackendService | Default


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of all rules."""

    version: int = 0
    text: str = ""
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, BackendService] = field(default_factory=dict)
    defaults: dict[str, Default] = field(default_factory=dict)
