"""Choose one of several suitable shards for a new job."""

from __future__ import annotations

from collections.abc import Mapping


def choose_by_free_capacity(rooms: Mapping[str, float], fraction: float) -> str:
    """Return a shard; the probability of each is proportional to its free room.

    ``fraction`` is a random number from 0 to 1. It prevents daemons that use the same
    outdated summary from all choosing the same shard.
    """
    weights = {shard: max(room, 0.0) for shard, room in rooms.items()}
    total = sum(weights.values())
    if not total:
        weights = dict.fromkeys(rooms, 1.0)
        total = float(len(rooms))
    remaining = fraction * total
    for shard, weight in weights.items():
        remaining -= weight
        if remaining <= 0 and weight:
            return shard
    return max(weights, key=lambda shard: weights[shard])
