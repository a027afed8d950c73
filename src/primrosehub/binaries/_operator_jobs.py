"""The operators' command that explains the state of a job."""

from __future__ import annotations

import time
from pathlib import Path

from primrosehub.binaries._operator_context import (
    OperatorError,
    PlatformServices,
    platform,
)
from primrosehub.border.codec import from_plain
from primrosehub.border.rule_file import parse_rules
from primrosehub.core import keys
from primrosehub.core.members import ShardOwner
from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.core.work import Job, TaskState
from primrosehub.services.names.v1 import Keys


def explain(job_id: str, *, settings: Path) -> int:
    """Print the state of a job and what it waits for.

    :param job_id: the job's id
    :param settings: the JSON file with the operator's settings
    """
    with platform(settings) as cell:
        rows = cell.table.read(Keys((keys.job(job_id),)))[0]
        if not rows:
            raise OperatorError(f"there is no job {job_id!r}")
        job = from_plain(Job, rows[0].value)
        for line in _describe_job(cell, job):
            print(line)
    return 0


def _describe_job(cell: PlatformServices, job: Job) -> list[str]:
    counts = {
        state: sum(task.state is state for task in job.tasks) for state in TaskState
    }
    task_counts = ", ".join(
        f"{number} {state}" for state, number in counts.items() if number
    )
    lines = [
        f"job {job.id}: {job.state}, {job.spec.work.kind}, team {job.spec.team}",
        f"submitted {time.time() - job.submitted_s:.0f} s ago; tasks: {task_counts}",
        f"each task needs {_format_resources(job.spec.size)}",
    ]
    if counts[TaskState.PENDING]:
        lines += _describe_wait(cell, job)
    return lines


def _describe_wait(cell: PlatformServices, job: Job) -> list[str]:
    rows = cell.table.read(
        Keys((keys.shard(job.shard), keys.granted(job.spec.team))),
        Keys((keys.CONFIG_VERSION,)),
    )
    by_key = {row.key: row for row in rows[0]}
    lines = []
    owner_row = by_key.get(keys.shard(job.shard))
    owner = from_plain(ShardOwner, owner_row.value) if owner_row else None
    if owner is None or not owner.owner:
        lines.append(f"shard {job.shard} has no owner; see 'primrosehub status'")
    else:
        lines.append(f"shard {job.shard}, owner {owner.owner}, epoch {owner.epoch}")
    version = rows[1][0].value["version"]
    text = cell.table.read(Keys((keys.config_text(version),)))[0][0].value["text"]
    limit = parse_rules(text).teams[job.spec.team].limit
    granted_row = by_key.get(keys.granted(job.spec.team))
    granted = from_plain(Resources, granted_row.value) if granted_row else NO_RESOURCES
    lines.append(
        f"team limit: {_format_resources(limit)}; granted: {_format_resources(granted)}"
    )
    if not job.spec.size.fits_in(limit - granted):
        lines.append(
            "the team is at its limit: the job waits for other tasks of the team to end"
        )
    else:
        largest = max(
            (
                host.capacity
                for host in cell.host_list.hosts().values()
                if host.kind == "worker"
            ),
            key=lambda capacity: capacity.times_contained(job.spec.size),
            default=NO_RESOURCES,
        )
        fits = largest.times_contained(job.spec.size)
        lines.append(
            "the job waits for free resources: "
            f"an empty worker host has room for at most {fits} of its tasks"
        )
    return lines


def _format_resources(amount: Resources) -> str:
    return (
        f"{amount.cpu_m / 1000:g} cpus, {amount.memory_mb / 1024:g} GB, "
        f"{amount.accelerators} accelerators"
    )
