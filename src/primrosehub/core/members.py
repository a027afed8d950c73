"""Members, shards, grants and what peers tell each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from primrosehub.core.resources import NO_RESOURCES, Resources

Role = Literal["entry", "scheduler"]


@dataclass(frozen=True, slots=True)
class Member:
    """Hold the table row by which a daemon shows that it lives."""

    name: str
    incarnation: str
    role: Role
    peer_address: str
    zone: str
    counter: int = 0
    leaving: bool = False
    config_version: int = 0


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """Hold who may act for a shard; an empty owner means released."""

    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Grants:
    """Hold how a team's upper limit is split over the shards."""

    team: str
    by_shard: dict[str, Resources] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """Tell peers what a shard has free and which team uses how much."""

    shard: str
    epoch: int
    free: Resources = NO_RESOURCES
    pending: int = 0
    usage: dict[str, Resources] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerNews:
    """Carry what one daemon tells another in an exchange, in either direction.

    ``table_age_s`` is how long ago the sender last had a confirmed table read.
    """

    sender: str
    config_version: int
    table_age_s: float
    summaries: tuple[ShardSummary, ...] = ()
    inbox_shards: tuple[str, ...] = ()
    shards_changed: bool = False
    wants_summaries: bool = False
    wants_config: bool = False
    config_text: str = ""
