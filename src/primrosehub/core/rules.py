"""The rules of the /v1 configuration: teams, keys, queues, services, defaults."""

from __future__ import annotations

from dataclasses import dataclass, field

from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Team:
    """Define a team.

    ``share`` is its weight when the cell is full, ``limit`` its upper limit.
    """

    name: str
    share: int
    limit: Resources


@dataclass(frozen=True, slots=True)
class Key:
    """Assign a key, identified by the SHA-256 hash of its secret, to a team."""

    sha256: str
    team: str


@dataclass(frozen=True, slots=True)
class ForTeams:
    """Admit only the listed teams, each with its own key."""

    teams: frozenset[str]


@dataclass(frozen=True, slots=True)
class OpenToAll:
    """Admit everyone; charge work without a key to ``team``."""

    team: str


Access = ForTeams | OpenToAll


@dataclass(frozen=True, slots=True)
class Queue:
    """Define a queue for jobs and who may use it."""

    name: str
    access: Access


@dataclass(frozen=True, slots=True)
class BackendService:
    """Define a service for quick requests and who may call it."""

    name: str
    access: Access
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Default:
    """Define the task size and run time of work of a kind that specifies none."""

    kind: str
    size: Resources
    runtime_s: float


Rule = Team | Key | Queue | BackendService | Default


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the configuration; ``text`` is the rule file."""

    version: int = 0
    text: str = ""
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, BackendService] = field(default_factory=dict)
    defaults: dict[str, Default] = field(default_factory=dict)
