"""The keys of all rows in the table."""

from __future__ import annotations

MEMBER = "member/"
SHARD = "shard/"
JOB = "job/"
CONFIG_VERSION = "config/version"


def member(incarnation: str) -> str:
    """Return the key of a daemon's membership row."""
    return MEMBER + incarnation


def shard(name: str) -> str:
    """Return the key of the row that holds a shard's owner and epoch."""
    return SHARD + name


def layout(region: str) -> str:
    """Return the key of the row that holds a region's number of shards."""
    return f"cell/layout/{region}"


def job(job_id: str) -> str:
    """Return the key of a job's row."""
    return JOB + job_id


def inbox(shard_name: str, job_id: str = "") -> str:
    """Return the key of the row that tells a shard's owner of a changed job."""
    return f"inbox/{shard_name}/{job_id}"


def open_job(shard_name: str, job_id: str = "") -> str:
    """Return the key of the row that marks a job of a shard as open."""
    return f"open/{shard_name}/{job_id}"


def grant(shard_name: str, team: str = "") -> str:
    """Return the key of the row that holds a shard's grant from a team's limit."""
    return f"grant/{shard_name}/{team}"


def granted(team: str) -> str:
    """Return the key of the row that holds the sum of a team's grants."""
    return f"granted/{team}"


def config_text(version: int) -> str:
    """Return the key of the row that holds the rules of a configuration version."""
    return f"config/text/{version:08d}"


def audit(version: int) -> str:
    """Return the key of the row that records who made a version, and why."""
    return f"config/audit/{version:08d}"


def sent_once(team: str, service: str, idempotency_key: str) -> str:
    """Return the key of the row that marks a non-idempotent request as sent."""
    return f"once/{team}/{service}/{idempotency_key}"
