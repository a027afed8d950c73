"""The operators' command that prints the state of daemons and shards."""

from __future__ import annotations

from pathlib import Path

from primrosehub.binaries._operator_context import platform
from primrosehub.border.codec import from_plain
from primrosehub.core import keys
from primrosehub.core.members import Member, ShardOwner
from primrosehub.services.names.v1 import Prefix


def status(*, settings: Path) -> int:
    """Print the daemons and the shards that each owns.

    :param settings: the JSON file with the operator's settings
    """
    with platform(settings) as cell:
        member_rows, shard_rows = cell.table.read(
            Prefix(keys.MEMBER), Prefix(keys.SHARD)
        )
    members = [from_plain(Member, row.value) for row in member_rows]
    owners = {
        row.key.removeprefix(keys.SHARD): from_plain(ShardOwner, row.value)
        for row in shard_rows
    }
    for member in sorted(members, key=lambda m: (m.role, m.name)):
        held = [s for s, o in owners.items() if o.owner == member.incarnation]
        state = "leaving" if member.leaving else "live"
        print(
            f"{member.role:9} {member.name:16} {member.zone:10} {state:8}"
            f"config={member.config_version} shards={len(held)}"
        )
    known = {member.incarnation for member in members}
    for shard, owner in owners.items():
        if owner.owner not in known:
            print(f"shard {shard} has no owner; epoch {owner.epoch}")
    return 0
