"""Run soaks of many seeds, or one plan, and report what broke."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys
import tempfile
from collections import Counter
from pathlib import Path

import defopt
import gevent

from primrosehub_standins.soak.cell import SoakCell, SystemNotReady
from primrosehub_standins.soak.checker import Breach, find_breaches
from primrosehub_standins.soak.clients import Clients
from primrosehub_standins.soak.draw import draw_plan
from primrosehub_standins.soak.plan import Plan, encode_plan, read_plan
from primrosehub_standins.soak.record import Record

CHECKOUT = Path(__file__).resolve().parents[3]
FINISH_S = 14.0  # after the traffic, before jobs are asked for
EXIT_BROKEN, EXIT_BAD_PLAN = 1, 2


def soak(
    *,
    seeds: int = 1,
    first_seed: int = 1,
    seconds: float = 60.0,
    daemons: int = 3,
    hosts: int = 8,
    jobs_per_s: float = 6.0,
    plan: Path | None = None,
    system: Path = CHECKOUT,
    out: Path | None = None,
) -> int:
    """Run daemons under trouble and check the users' rules.

    :param seeds: how many runs, each with the next seed
    :param first_seed: the seed of the first run
    :param seconds: how long jobs are sent in each run
    :param daemons: how many daemons
    :param hosts: how many worker hosts
    :param jobs_per_s: how many jobs are sent a second
    :param plan: play this file, as written by a run before, instead of drawing
    :param system: the checkout whose daemons run
    :param out: the folder for plans, logs and reports of broken runs
    """
    try:
        plans = (
            [read_plan(plan)]
            if plan is not None
            else [
                draw_plan(first_seed + number, seconds, daemons, hosts, jobs_per_s)
                for number in range(seeds)
            ]
        )
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_PLAN
    folder = out or Path(tempfile.mkdtemp(prefix="soak-"))
    broken = sum(not _run(one, system.resolve(), folder) for one in plans)
    print(f"{len(plans) - broken} passed, {broken} failed")
    return EXIT_BROKEN if broken else 0


def _run(plan: Plan, system: Path, folder: Path) -> bool:
    """Play a plan; return whether all rules held."""
    out = folder / f"seed-{plan.seed}"
    out.mkdir(parents=True, exist_ok=True)
    (out / "plan.json").write_bytes(encode_plan(plan))
    try:
        with SoakCell(plan, system, out) as cell:
            clients = Clients(cell, plan)
            cell.play_troubles()
            clients.send()
            gevent.sleep(FINISH_S)
            clients.read_states()
            record = cell.complete_record()
    except SystemNotReady as error:
        print(f"seed {plan.seed}: {error}; logs in {out}")
        return False
    breaches = find_breaches(record)
    _report(plan, record, breaches, out)
    return not breaches


def _report(plan: Plan, record: Record, breaches: list[Breach], out: Path) -> None:
    rules = Counter(breach.rule for breach in breaches)
    accepted = [job for job in record.jobs.values() if job.accepted_at is not None]
    line = (
        f"seed {plan.seed}: {len(plan.troubles)} troubles, {len(accepted)} of "
        f"{len(record.jobs)} jobs accepted, "
        f"{sum(job.cancelled_at is not None for job in accepted)} cancelled, "
        f"{len(record.runs)} starts, {len(record.owners)} owners, peak "
        f"{max(record.memory_mb.values(), default=0.0):.0f} MB: "
        + (", ".join(f"{rule} {n}" for rule, n in rules.items()) or "all rules held")
    )
    print(line, flush=True)
    lines = [line, *(f"{one.rule} {one.subject}: {one.detail}" for one in breaches)]
    for one in breaches:
        lines += ["", f"== {one.subject}", *_timeline(record, one.subject)]
    (out / "report.txt").write_text("\n".join(lines) + "\n")
    if breaches:
        print("\n".join(lines[1 : 1 + len(breaches)][:10]), f"\nlogs in {out}")


def _timeline(record: Record, subject: str) -> list[str]:
    """Return what callers and hosts saw of a job, beside the trouble, in order."""
    job_id = subject.partition(".")[0]
    events: list[tuple[float, str]] = [
        (
            one.began_at,
            f"trouble: {one.node or 'all'} {one.what} to {one.ended_at:.3f}",
        )
        for one in record.disruptions
    ]
    job = record.jobs.get(job_id)
    if job is not None and job.accepted_at is not None:
        events.append((job.accepted_at, "accepted"))
    if job is not None and job.cancelled_at is not None:
        events.append((job.cancelled_at, "cancellation acknowledged"))
    for run in record.runs:
        if run.job == job_id:
            name = f"{run.task} attempt {run.attempt} epoch {run.epoch} on {run.host}"
            events.append((run.started_at, f"start of {name}"))
            if run.how:
                events.append((run.ended_at, f"{run.how}: {name}"))
            if run.noted_at is not None:
                events.append((run.noted_at, f"end noted: {name}"))
    return [f"{at:10.3f} {text}" for at, text in sorted(events)]


def main() -> None:
    """Run the program."""
    sys.exit(defopt.run(soak))


if __name__ == "__main__":
    main()
