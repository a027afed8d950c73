"""Which nodes an isolation touches, and which links it cuts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from primrosehub_standins.soak.links import BothWays, Cut, OneWay
from primrosehub_standins.soak.plan import (
    CutLink,
    CutNodes,
    CutOwner,
    CutZone,
    Direction,
    Isolation,
)

STORE = "store"


@dataclass(frozen=True, slots=True)
class Nodes:
    """Hold how many daemons and hosts there are, and spread them over the zones."""

    daemon_count: int
    host_count: int
    zones: int

    @property
    def daemons(self) -> list[str]:
        """Return the names of the daemons."""
        return [f"hub-{number}" for number in range(self.daemon_count)]

    @property
    def hosts(self) -> list[str]:
        """Return the names of the hosts."""
        return [f"i-{number}" for number in range(self.host_count)]

    def zone_of(self, node: str) -> int:
        """Return the number of the zone of a daemon or host."""
        return int(node.rpartition("-")[2]) % self.zones

    def zone_name(self, node: str) -> str:
        """Return the name of the zone of a daemon or host."""
        return f"zone-{self.zone_of(node)}"


def cut_of(
    isolation: Isolation, nodes: Nodes, owner: str
) -> tuple[frozenset[str], Cut]:
    """Return the nodes that are cut off, and the cut; ``owner`` is for CutOwner."""
    match isolation:
        case CutZone(zone=zone):
            members = nodes.daemons + nodes.hosts
            near = frozenset(node for node in members if nodes.zone_of(node) == zone)
        case CutOwner(daemons=daemons, hosts=hosts):
            zone = nodes.zone_of(owner)
            others = [daemon for daemon in nodes.daemons if daemon != owner]
            with_owner = _of_zone_first(others, nodes, zone)[:daemons]
            with_owner += _of_zone_first(nodes.hosts, nodes, zone)[:hosts]
            near = frozenset((owner, *with_owner))
        case CutNodes(daemon_numbers=daemons, host_numbers=hosts):
            near = frozenset(nodes.daemons[number] for number in daemons)
            near |= {nodes.hosts[number] for number in hosts}
        case CutLink(daemon=daemon, other=other):
            near = frozenset((nodes.daemons[daemon],))
            return near, _cut(near, frozenset((other,)), isolation.direction)
    far = frozenset((*nodes.daemons, *nodes.hosts)) - near
    if not isolation.keep_store:
        far |= {STORE}
    return near, _cut(near, far, isolation.direction)


def _of_zone_first(names: Iterable[str], nodes: Nodes, zone: int) -> list[str]:
    return sorted(names, key=lambda name: nodes.zone_of(name) != zone)


def _cut(near: frozenset[str], far: frozenset[str], direction: Direction) -> Cut:
    match direction:
        case "both":
            return BothWays(near, far)
        case "outgoing":
            return OneWay(near, far)
        case "incoming":
            return OneWay(far, near)
