"""Estimate each role's control overhead at the design size from linear fits."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import defopt

from primrosehub.core.rendezvous import choose, shard_names

SAMPLES = Path("docs/capacity.json")
REGIONS = 2
HOSTS_PER_REGION = 7
SHARDS_PER_REGION = 24
# At the design size; starts are a second.
SIZE_PER_REGION = {
    "workers": 700 / REGIONS,
    "tasks": 5700 / REGIONS,
    "starts": 41 / REGIONS,
}
# The same for every daemon; changes are those of the rules a minute, 2700 a day.
SIZE_PER_DAEMON = {
    "teams": 120.0,
    "peers": 2.0 * HOSTS_PER_REGION,
    "changes": 2700 / 24 / 60,
}
# The unit and the upper bound of each measured field.
BOUNDS = {
    "cpu_percent": ("% of a core", 2.1),
    "memory_mb": ("MB", 64.0),
    "bytes_per_s": ("B/s", 7000.0),
}


def fit_line(
    samples: list[dict], what: str, role: str, field: str
) -> tuple[float, float]:
    """Return the intercept and the slope of the least squares line of a field."""
    points = [
        (s["size"], s[field])
        for s in samples
        if s["what"] == what and s["role"] == role
    ]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - gradient * mean_x, gradient


def largest_share() -> float:
    """Return the largest fraction of a region's shards that one scheduler owns."""
    names = [f"scheduler-{n}" for n in range(1, HOSTS_PER_REGION + 1)]
    shards = shard_names("region-1", SHARDS_PER_REGION)
    owned = Counter(choose(names, shard) for shard in shards)
    return max(owned.values()) / SHARDS_PER_REGION


def sizes_of(role: str) -> dict[str, float]:
    """Return the size of each quantity at the busiest daemon of a role."""
    part = largest_share() if role == "scheduler" else 1 / HOSTS_PER_REGION
    own = {what: size * part for what, size in SIZE_PER_REGION.items()}
    if role == "entry":
        own = {"starts": own["starts"]}
    return own | SIZE_PER_DAEMON


def table(samples: list[dict]) -> str:
    """Return the capacity page's table: each slope times its size, and the sum."""
    lines = [
        "| role | per | size | "
        + " | ".join(unit for unit, _ in BOUNDS.values())
        + " |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for role in ("entry", "scheduler"):
        base = {f: fit_line(samples, "workers", role, f)[0] for f in BOUNDS}
        rows = [("a daemon alone", 1.0, base)]
        for what, size in sizes_of(role).items():
            grown = {
                f: max(0.0, fit_line(samples, what, role, f)[1]) * size for f in BOUNDS
            }
            rows.append((what, size, grown))
        for name, size, values in rows:
            cells = " | ".join(f"{values[f]:.2f}" for f in BOUNDS)
            lines.append(f"| {role} | {name} | {size:.1f} | {cells} |")
        sums = {f: sum(values[f] for _, _, values in rows) for f in BOUNDS}
        cells = " | ".join(
            f"{sums[f]:.2f}" + (" **over**" if sums[f] > bound else "")
            for f, (_, bound) in BOUNDS.items()
        )
        lines.append(f"| {role} | **sum** | | {cells} |")
    bounds = " | ".join(f"{bound:g}" for _, bound in BOUNDS.values())
    lines.append(f"| | **bound** | | {bounds} |")
    return "\n".join(lines)


def main(samples: Path = SAMPLES) -> None:
    """Print the table.

    :param samples: the file that scripts/bench control wrote
    """
    print(table(json.loads(samples.read_text())))


if __name__ == "__main__":
    defopt.run(main)
