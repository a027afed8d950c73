"""Run an example's day of work on a cell of its own and check the outcome."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import signal
import sys
import tempfile
from pathlib import Path
from typing import Literal

import defopt
import gevent
import orjson
from gevent.event import Event

from primrosehub_standins.cell import Cell
from primrosehub_standins.layout import Layout
from primrosehub_standins.checker import check_calls, check_jobs, check_workers
from primrosehub_standins.journal import read_journal
from primrosehub_standins.load import Load, quantile

EXAMPLES = Path("examples")
DAY_TIMEOUT_S = 120.0


def demo(
    example: Literal["rayo", "corrib"] = "rayo",
    *,
    keep: bool = False,
    folder: Path | None = None,
) -> int:
    """Start a cell, send an example's day of work, and check the outcome.

    :param example: the example to run
    :param keep: leave the cell running until Ctrl-C
    :param folder: for settings, logs and journals; a new one by default
    """
    source = EXAMPLES / example
    day = orjson.loads((source / "day.json").read_bytes())
    folder = folder or Path(tempfile.mkdtemp(prefix="primrosehub-"))
    interrupted = Event()
    gevent.signal_handler(signal.SIGINT, interrupted.set)
    gevent.signal_handler(signal.SIGTERM, interrupted.set)
    with Cell(folder, Layout(**day["cell"])) as cell:
        print(f"starting {example}'s cell; logs and journals are in {folder}")
        cell.start(source / "rules.txt")
        load = Load([daemon.address("callers") for daemon in cell.entries()])
        ended = _run_day(load, day, interrupted)
        violations = _check(cell, load)
        _print_table(load)
        for violation in violations:
            print(f"violation: {violation}")
        if keep and not interrupted.is_set():
            _print_addresses(cell, day)
            interrupted.wait()
    passed = ended and not violations
    print("all checks passed" if passed else "some checks failed")
    return 0 if passed else 1


def _run_day(load: Load, day: dict, interrupted: Event) -> bool:
    streams = [gevent.spawn(load.run_calls, stream) for stream in day["calls"]]
    streams += [gevent.spawn(load.run_jobs, stream) for stream in day["jobs"]]
    with gevent.Timeout(DAY_TIMEOUT_S, False):
        while not all(stream.ready() for stream in streams):
            if interrupted.wait(1.0):
                break
            calls = sum(t.answered for t in load.tallies)
            jobs = sum(t.finished for t in load.tallies)
            print(f"  answered {calls}, jobs settled {jobs}", flush=True)
    ended = all(stream.successful() for stream in streams)
    gevent.killall(streams)
    lost = sum(t.sent - t.answered - t.refused for t in load.tallies)
    if lost:
        print(f"{lost} calls had no answer")
    return ended and not lost


def _check(cell: Cell, load: Load) -> list[str]:
    capacities = {h["name"]: h["capacity"] for h in cell.hosts if h["kind"] == "worker"}
    names = [name for name in cell.standins if name.startswith("worker-process")]
    workers = [event for name in names for event in read_journal(cell.journal(name))]
    backends = read_journal(cell.journal("backend"))
    return [
        *check_workers(workers, capacities),
        *check_jobs(workers, load.jobs.values()),
        *check_calls(backends, load.calls),
    ]


def _print_table(load: Load) -> None:
    head = ("work", "sent", "answered", "finished", "refused", "p50 ms", "p99 ms")
    print("{:20}{:>8}{:>10}{:>10}{:>9}{:>9}{:>9}".format(*head))
    for t in load.tallies:
        p50, p99 = (1000 * quantile(t.waits_s, q) for q in (0.5, 0.99))
        print(
            f"{t.name:20}{t.sent:8}{t.answered:10}{t.finished:10}{t.refused:9}"
            f"{p50:9.1f}{p99:9.1f}"
        )


def _print_addresses(cell: Cell, day: dict) -> None:
    for daemon in cell.daemons.values():
        ip, port = daemon.address("callers" if daemon.role == "entry" else "ops")
        print(f"{daemon.name}: http://{ip}:{port}")
    ip, port = cell.entries()[0].address("callers")
    print("\nfor the commands of docs/API.md:")
    print(f"export HUB=http://{ip}:{port}")
    for stream in [*day["calls"], *day["jobs"]]:
        print(f"export KEY={stream['key']}  # {stream['name']}")
    print(f"operator settings: {cell.folder / 'operator.json'}\nCtrl-C stops the cell")


def main() -> None:
    """Run the demo."""
    sys.exit(defopt.run(demo))


if __name__ == "__main__":
    main()
