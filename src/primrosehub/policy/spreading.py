"""Choose one of several suitable shards for a new job."""

from __future__ import annotations

from collections.abc import Mapping


def choose_by_free_capacity(rooms: Mapping[str, float], fraction: float) -> str:
    """Return a shard; the probability of each is proportional to its free room.

    ``fraction`` is a random number from 0 to 1. It prevents daemons that use the same
    outdated summary from all choosing the same shard.
    """
    weights = {shard: max(room, 0.0) for shard, room in rooms.items()}
    whole = sum(weights.values())
    if not whole:
        weights = dict.fromkeys(rooms, 1.0)
        whole = float(len(rooms))
    point = fraction * whole
    for shard, weight in weights.items():
        point -= weight
        if point <= 0 and weight:
            return shard
    return max(weights, key=lambda shard: weights[shard])
