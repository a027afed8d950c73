"""What the parts of a shard run share."""

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
    """Hold the right by which a shard run acts.

    ``released`` tells whether the last owner handed the shard over.
    """

    shard: str
    epoch: int
    version: int
    released: bool

    @property
    def row(self) -> Expect:
        """Return the expectation that guards every write of this owner."""
        return Expect(keys.shard(self.shard), self.version)


@dataclass(frozen=True, slots=True)
class ShardServices:
    """Hold the services that a shard run works with, found by name.

    ``hosts`` returns the worker hosts of a shard, ``capacity`` that of the cell.
    """

    configuration: ConfigurationService
    grants: GrantLedger
    membership: Membership
    metrics: Metrics
    peers: Peers
    table: Table
    hosts: Callable[[str], dict[str, Host]]
    capacity: Callable[[], Resources]
