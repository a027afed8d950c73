"""Validated request bodies of callers, and the documents sent back to them."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

from primrosehub.core.errors import ANSWERS, HubError
from primrosehub.core.resources import Resources
from primrosehub.core.rules import Configuration
from primrosehub.core.work import AllAtOnce, Batch, Job, JobSpec, Service, WorkKind

MAX_TASKS = 256
_MB_PER_GB = 1024
_Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Size(_Model):
    """Hold the resources that one task needs."""

    cpus: Annotated[float, Field(gt=0, le=4096)]
    memory_gb: Annotated[float, Field(gt=0, le=65536)]
    accelerators: Annotated[int, Field(ge=0, le=1024)] = 0

    def to_core(self) -> Resources:
        """Return the size in millicores and MiB, rounded up."""
        return Resources(
            cpu_m=-int(-self.cpus * 1000 // 1),
            memory_mb=-int(-self.memory_gb * _MB_PER_GB // 1),
            accelerators=self.accelerators,
        )


class JobSubmission(_Model):
    """Hold the body of a job submission."""

    queue: _Name
    kind: Literal["service", "batch", "all_at_once"]
    command: Annotated[str, Field(min_length=1, max_length=4096)]
    tasks: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    size: Size | None = None
    # At most 30 days.
    runtime_s: Annotated[float, Field(gt=0, le=2_592_000)] | None = None
    urgent: bool = False
    idempotent: bool = True

    def to_core(self, team: str, config: Configuration) -> JobSpec:
        """Return the job's specification, filled in with the defaults of its kind."""
        default = config.defaults.get(self.kind)
        size = self.size.to_core() if self.size else None
        if size is None:
            size = default.size if default else Resources(1000, _MB_PER_GB)
        runtime_s = self.runtime_s or (default.runtime_s if default else 600.0)
        return JobSpec(
            team=team,
            queue=self.queue,
            work=_work(self.kind, runtime_s),
            tasks=self.tasks,
            size=size,
            command=self.command,
            urgent=self.urgent,
            idempotent=self.idempotent,
        )


def _work(kind: str, runtime_s: float) -> WorkKind:
    match kind:
        case "service":
            return Service("service")
        case "all_at_once":
            return AllAtOnce("all_at_once", runtime_s)
        case _:
            return Batch("batch", runtime_s)


def job_document(job: Job) -> dict[str, Any]:
    """Return the JSON-ready document that describes a job to callers."""
    return {
        "id": job.id,
        "state": job.state,
        "cancel_requested": job.cancel_requested,
        "queue": job.spec.queue,
        "kind": job.spec.work.kind,
        "submitted": job.submitted_s,
        "tasks": [
            {"index": t.index, "state": t.state, "attempt": t.attempt, "host": t.host}
            for t in job.tasks
        ],
    }


def problem_document(error: HubError) -> dict[str, Any]:
    """Return an error as a problem document (RFC 9457)."""
    answer = ANSWERS[error.kind]
    document: dict[str, Any] = {
        "type": f"urn:primrosehub:error:{error.kind}",
        "title": answer.title,
        "status": answer.status,
        "kind": error.kind,
        "detail": error.detail,
    }
    if answer.not_run is not None:
        document["not_run"] = answer.not_run
    return document
