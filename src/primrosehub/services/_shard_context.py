"""Define what the components of a shard run share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from primrosehub.core import keys
from primrosehub.core.platform import Host
from primrosehub.core.resources import Resources
from primrosehub.core.table import Expect
from primrosehub.services.names import Metrics
from primrosehub.services.names.v1 import (
    ConfigurationService,
    GrantLedger,
    Membership,
    Peers,
    Table,
)


@dataclass(frozen=True, slots=True)
class Ownership:
    """Identify the shard and the epoch for which a shard run acts.

    ``version`` is that of the shard's row. ``released`` tells whether the last owner
    released the shard.
    """

    shard: str
    epoch: int
    version: int
    released: bool

    @property
    def row(self) -> Expect:
        """Return the condition of every write: the shard's row has not changed."""
        return Expect(keys.shard(self.shard), self.version)


@dataclass(frozen=True, slots=True)
class ShardServices:
    """Hold the services that a shard run uses.

    ``hosts`` returns the worker hosts of a shard by name. ``capacity`` returns the
    total capacity of the cell's worker hosts.
    """

    configuration: ConfigurationService
    grants: GrantLedger
    membership: Membership
    metrics: Metrics
    peers: Peers
    table: Table
    hosts: Callable[[str], dict[str, Host]]
    capacity: Callable[[], Resources]
