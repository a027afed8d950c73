"""Members, shards, grants and the news that peers exchange."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from primrosehub.core.resources import NO_RESOURCES, Resources

Role = Literal["entry", "scheduler"]


@dataclass(frozen=True, slots=True)
class Member:
    """Hold a daemon's membership row.

    The daemon increments ``counter`` with each renewal to show that it is alive.
    """

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
    """Hold the owner of a shard; an empty ``owner`` means that it was released."""

    owner: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Grants:
    """Hold how a team's upper limit is split over the shards."""

    team: str
    by_shard: dict[str, Resources] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """Tell peers how much of a shard is free and how much each team uses."""

    shard: str
    epoch: int
    free: Resources = NO_RESOURCES
    pending: int = 0
    usage: dict[str, Resources] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerNews:
    """Carry one daemon's part of an exchange with a peer.

    ``table_age_s`` is the age of the sender's last confirmed read of the table.
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
