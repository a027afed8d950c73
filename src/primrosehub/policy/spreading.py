"""Which of several suitable shards a new job goes to."""

from __future__ import annotations

from collections.abc import Mapping


def choose_by_free_capacity(rooms: Mapping[str, float], fraction: float) -> str:
    """Return a shard, each with a chance in proportion to its room.

    ``fraction`` is a random number from 0 to 1. Several daemons that choose by the
    same old summary then do not all choose the same shard.
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
