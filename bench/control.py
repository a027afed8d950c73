"""Measure a daemon's control overhead as one quantity grows, at three sizes."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import json
import tempfile
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Literal

import defopt
import gevent
import orjson

from bench._cells import RULES, running_cell
from primrosehub_standins.cell import Cell

SETTLE_S = 8.0
TEAMS_OF_EXAMPLE = 6
Quantity = Literal["workers", "tasks", "starts", "teams", "peers", "changes"]
KEY = "rayo-inventory-1"


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold what one role used: percent of a core, MiB, bytes per second."""

    what: str
    size: float
    role: str
    cpu_percent: float
    memory_mb: float
    bytes_per_s: float
    table_reads_per_s: float
    table_writes_per_s: float


def _readings(cell: Cell) -> dict[str, dict[str, float]]:
    counts = cell.table_counts() or {}
    readings = {}
    for name in cell.daemons:
        metrics = cell.metrics(name)
        readings[name] = {
            "cpu": metrics["primrosehub_cpu_seconds"],
            "memory": metrics["primrosehub_memory_kib"] / 1024,
            "bytes": sum(v for k, v in metrics.items() if "control_bytes" in k),
            "reads": counts["reads"],
            "writes": counts["rows_written"],
        }
    return readings


def _measure(cell: Cell, what: str, size: float, seconds: float) -> list[Sample]:
    before = _readings(cell)
    gevent.sleep(seconds)
    after = _readings(cell)
    samples = []
    for role in ("entry", "scheduler"):
        names = [d.name for d in cell.daemons.values() if d.role == role]
        if not names:
            continue

        def rate(field: str, names: list[str] = names) -> float:
            increase = sum(after[n][field] - before[n][field] for n in names)
            return increase / len(names) / seconds

        samples.append(
            Sample(
                what=what,
                size=size,
                role=role,
                cpu_percent=round(100 * rate("cpu"), 3),
                memory_mb=round(max(after[n]["memory"] for n in names), 2),
                bytes_per_s=round(rate("bytes")),
                table_reads_per_s=round(rate("reads"), 1),
                table_writes_per_s=round(rate("writes"), 1),
            )
        )
    return samples


def _submit(cell: Cell, number: int, **body: Any) -> None:
    address = cell.entries()[number % len(cell.entries())].address("callers")
    headers = (("Primrosehub-Key", KEY), ("Idempotency-Key", f"bench-{number}"))
    body = {"queue": "nightly", "kind": "batch"} | body
    response = cell.request(address, "POST", "/v1/jobs", body, headers=headers)
    if response.status not in (200, 201):
        raise RuntimeError(response.body)


def _rules_with_teams(teams: int) -> Path:
    text = RULES.read_text().replace(
        "cpus=800 memory_gb=1600", "cpus=99999 memory_gb=99999"
    )
    for number in range(teams - TEAMS_OF_EXAMPLE):
        text += f"team t{number} share=1 cpus=10 memory_gb=20  # Bench: team {number}\n"
    path = Path(tempfile.mkdtemp()) / "rules.txt"
    path.write_text(text)
    return path


def workers(size: int, seconds: float) -> list[Sample]:
    """Measure one scheduler daemon that owns ``size`` worker hosts."""
    with running_cell(
        entries=1, schedulers=1, backends=0, zones=1, workers_per_rack=size, shards=1
    ) as cell:
        gevent.sleep(SETTLE_S)
        return _measure(cell, "workers", size, seconds)


def _twenty_workers() -> AbstractContextManager[Cell]:
    """Return a cell with one daemon of each role and 20 worker hosts."""
    return running_cell(
        _rules_with_teams(TEAMS_OF_EXAMPLE),
        entries=1,
        schedulers=1,
        backends=0,
        zones=1,
        workers_per_rack=20,
        shards=1,
    )


def tasks(size: int, seconds: float) -> list[Sample]:
    """Measure one scheduler daemon with ``size`` tasks running on 20 worker hosts."""
    with _twenty_workers() as cell:
        for number in range(size // 4):
            small = {"cpus": 0.5, "memory_gb": 0.5}
            _submit(cell, number, command="sleep 600", tasks=4, size=small)
        gevent.sleep(SETTLE_S)
        return _measure(cell, "tasks", size, seconds)


def starts(size: int, seconds: float) -> list[Sample]:
    """Measure one scheduler daemon that starts ``size`` tasks a second."""
    with _twenty_workers() as cell:
        gevent.sleep(SETTLE_S)

        def submit_jobs() -> None:
            for number in range(int(size * (seconds + 5))):
                _submit(cell, number, command="sleep 1", tasks=1)
                gevent.sleep(1 / size)

        task = gevent.spawn(submit_jobs)
        gevent.sleep(2)
        samples = _measure(cell, "starts", size, seconds)
        task.kill()
        return samples


def teams(size: int, seconds: float) -> list[Sample]:
    """Measure a small cell whose rules have ``size`` teams."""
    with running_cell(
        _rules_with_teams(size), entries=1, schedulers=1, backends=0, workers_per_rack=2
    ) as cell:
        gevent.sleep(SETTLE_S)
        return _measure(cell, "teams", size, seconds)


def peers(size: int, seconds: float) -> list[Sample]:
    """Measure a cell of ``size`` daemons, half of them of each role."""
    with running_cell(
        entries=size // 2, schedulers=size - size // 2, backends=0, workers_per_rack=2
    ) as cell:
        gevent.sleep(SETTLE_S)
        return _measure(cell, "peers", size, seconds)


def changes(size: int, seconds: float) -> list[Sample]:
    """Measure a cell of 120 teams whose rules change ``size`` times a minute."""
    with running_cell(
        _rules_with_teams(120), entries=1, schedulers=1, backends=0, workers_per_rack=2
    ) as cell:

        def change_rules() -> None:
            path = cell.folder / "edited.txt"
            for number in range(1000):
                path.write_text(
                    cell.operator("rules", "show")
                    + f"queue extra-{number} teams=trials  # Bench: change {number}\n"
                )
                cell.operator("rules", "apply", str(path))
                gevent.sleep(60 / size)

        gevent.sleep(SETTLE_S)
        task = gevent.spawn(change_rules)
        samples = _measure(cell, "changes", size, seconds)
        task.kill()
        return samples


SIZES: dict[Quantity, tuple[Callable[[int, float], list[Sample]], tuple[int, ...]]] = {
    "workers": (workers, (10, 50, 120)),
    "tasks": (tasks, (100, 400, 1200)),
    "starts": (starts, (2, 6, 12)),
    "teams": (teams, (6, 60, 120)),
    "peers": (peers, (4, 8, 14)),
    "changes": (changes, (2, 6, 12)),
}


def main(*only: Quantity, seconds: float = 20.0, out: Path | None = None) -> None:
    """Run the measurements, print a JSON line for each sample, and write a file.

    :param only: the quantities to measure, all by default
    :param seconds: how long to measure each size
    :param out: the file to write all samples to
    """
    samples: list[Sample] = []
    for what in only or SIZES:
        measure, sizes = SIZES[what]
        for size in sizes:
            for sample in measure(size, seconds):
                samples.append(sample)
                print(json.dumps(asdict(sample)), flush=True)
    if out:
        out.write_bytes(
            orjson.dumps([asdict(s) for s in samples], option=orjson.OPT_INDENT_2)
        )


if __name__ == "__main__":
    defopt.run(main)
