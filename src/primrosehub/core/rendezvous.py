"""Rendezvous hashing: which of several owners should own an item."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score(owner: str, item: str) -> int:
    """Return the score of an owner for an item; the highest should own it."""
    digest = hashlib.blake2b(f"{owner}\0{item}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose(owners: Iterable[str], item: str) -> str | None:
    """Return the owner with the highest score, or None without owners."""
    return max(owners, key=lambda owner: (score(owner, item), owner), default=None)


def shard_of(region: str, zone: str, rack: str, shards: int) -> str:
    """Return the name of the shard that contains a rack."""
    number = score(rack, f"{region}/{zone}") % shards
    return f"{region}-{number:03d}"


def shard_names(region: str, shards: int) -> list[str]:
    """Return the names of all shards of a region."""
    return [f"{region}-{number:03d}" for number in range(shards)]
