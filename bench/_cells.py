"""Cells for benchmarks."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from primrosehub_standins.cell import Cell
from primrosehub_standins.layout import Layout

KEY = "rayo-counter-1"
RULES = Path("examples/rayo/rules.txt")


@contextmanager
def running_cell(rules: Path = RULES, **layout: object) -> Iterator[Cell]:
    """Run a cell with an example's rules until the block ends."""
    folder = Path(tempfile.mkdtemp(prefix="primrosehub-bench-"))
    with Cell(folder, Layout(**layout)) as cell:
        cell.start(rules)
        yield cell


def cpu_seconds(cell: Cell, name: str) -> float:
    """Return the processor time that a daemon has used, seconds."""
    return cell.metrics(name)["primrosehub_cpu_seconds"]
