"""Tables and keys of the rows that hold jobs, cancellations and progress.

Each daemon inserts into a part of its own: a part accepts one transaction at a time, so
daemons that shared one would wait for each other when the store is slow.
"""

from __future__ import annotations

from primrosehub.core.rows import RowKey

JOB_TABLE = "job"
CANCEL_TABLE = "cancel"
PROGRESS_TABLE = "progress"
# The owner's rows share a part with the row of the ownership, because the transactions
# that write them also check that row.
OWNER_PART = "s"
ROSTER_KEY = RowKey("roster", OWNER_PART, "hosts")
WITNESSES_KEY = RowKey("roster", OWNER_PART, "witnesses")


def progress_key(job: str) -> RowKey:
    """Return the key of a job's progress."""
    return RowKey(PROGRESS_TABLE, OWNER_PART, job)
