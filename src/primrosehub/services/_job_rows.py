"""Where accepted jobs and cancellations are stored."""

from __future__ import annotations

from primrosehub.core.rows import RowKey

JOB_TABLE = "job"
CANCEL_TABLE = "cancel"
_PARTS = 8  # spread inserts over the store's partitions, 200 transactions/s each
JOB_PARTS = tuple(str(number) for number in range(_PARTS))


def job_key(job: str) -> RowKey:
    """Return the key of an accepted job's row."""
    return RowKey(JOB_TABLE, _part(job), job)


def cancel_key(job: str) -> RowKey:
    """Return the key of a job's cancellation."""
    return RowKey(CANCEL_TABLE, _part(job), job)


def _part(job: str) -> str:
    return JOB_PARTS[int(job, 16) % _PARTS]
