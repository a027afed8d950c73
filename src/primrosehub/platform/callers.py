"""Decode callers' requests and encode their answers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import orjson
from pydantic import Field, TypeAdapter, ValidationError

from primrosehub.border.codec import describe_validation_error
from primrosehub.core.batch import BatchSpec, JobState, StepSpec
from primrosehub.core.errors import ANSWERS, ErrorKind, HubError
from primrosehub.core.resources import Resources
from primrosehub.platform import wire

MAX_COMMAND_BYTES = 4000  # the platform's bound on what a task runs
MAX_STEPS = 64
MAX_TASKS = 10_000
_MAX_AMOUNT = 2**40
_BEARER = "Bearer "
_STATUS_TEXT = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_Amount = Annotated[int, Field(ge=0, le=_MAX_AMOUNT)]


class _Step(wire.WireModel):
    count: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimated_runtime_ms: _Amount = 0
    after: list[Annotated[int, Field(ge=0)]] = []
    checkpointing: bool = False
    gang_scheduled: bool = False
    rack_local: bool = False
    requirements: str = ""
    affinity: str = ""
    max_per_server: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Amount = 0
    # True marks a step that uses only what other tasks leave.
    fill_ratio: bool | float = False
    max_unavailable: _Amount = 0


class _Job(wire.WireModel):
    spec: str = ""
    phases: Annotated[list[_Step], Field(min_length=1, max_length=MAX_STEPS)]
    repetitions: Annotated[int, Field(ge=0, le=100_000)] = 0
    start_time_ms: _Amount = 0
    interval_ms: _Amount = 0


_JOB = TypeAdapter(_Job)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request; ``path`` names a queue and, after its prefix, a job."""

    method: str
    host: str
    path: str
    secret: str | None
    wait_s: float
    body: bytes


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """Hold an answer ready to be sent."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def decode_request(environ: Mapping[str, Any], default_wait_s: float) -> CallerRequest:
    """Return the request of a WSGI environment; raise HubError."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit():
        raise HubError(ErrorKind.BAD_REQUEST, "Content-Length is not a number")
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    secret = None
    if authorization.startswith(_BEARER):
        secret = authorization.removeprefix(_BEARER)
    wait = environ.get("HTTP_" + wire.DEADLINE_MS_HEADER.upper().replace("-", "_"), "")
    return CallerRequest(
        method=environ["REQUEST_METHOD"],
        host=environ.get("HTTP_HOST", "").partition(":")[0],
        path=environ["PATH_INFO"],
        secret=secret,
        wait_s=int(wait) / 1000 if wait.isdigit() else default_wait_s,
        body=environ["wsgi.input"].read(int(length)) if length != "0" else b"",
    )


def decode_job(body: bytes) -> BatchSpec:
    """Return the job of a submission; raise a bad_request that names what is wrong."""
    try:
        job = _JOB.validate_json(body)
    except ValidationError as error:
        raise HubError(
            ErrorKind.BAD_REQUEST, describe_validation_error(error)
        ) from None
    if len(job.spec.encode()) > MAX_COMMAND_BYTES:
        raise HubError(ErrorKind.BAD_REQUEST, f"spec is over {MAX_COMMAND_BYTES} bytes")
    for number, step in enumerate(job.phases):
        if any(earlier >= number for earlier in step.after):
            raise HubError(
                ErrorKind.BAD_REQUEST, f"phases.{number}.after names no earlier step"
            )
    return BatchSpec(
        command=job.spec,
        steps=tuple(_step(step) for step in job.phases),
        occurrences=job.repetitions,
        first_due_ms=job.start_time_ms,
        interval_ms=job.interval_ms,
    )


def _step(step: _Step) -> StepSpec:
    return StepSpec(
        tasks=step.count,
        need=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_s=step.estimated_runtime_ms / 1000,
        after=tuple(step.after),
        checkpoints=step.checkpointing,
        gang=step.gang_scheduled,
        one_rack=step.rack_local,
        label=step.requirements,
        data_rack=step.affinity,
        max_per_host=step.max_per_server,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        filler=bool(step.fill_ratio),
        max_unavailable=step.max_unavailable,
    )


def encode_accepted() -> CallerResponse:
    """Say that a job is stored, or that it is cancelled."""
    return _answer(200, {})


def encode_state(state: JobState) -> CallerResponse:
    """Tell a job's state."""
    return _answer(200, {"state": str(state)})


def encode_waiting_count(count: int) -> CallerResponse:
    """Tell how many of a queue's jobs have not begun."""
    return _answer(200, {"pending": count})


_COME_BACK = (429, 503, 504)
# Callers try for 3 s: each second once reaches a store that is back within that time.
RETRY_AFTER_S = 1


def encode_error(error: HubError) -> CallerResponse:
    """Tell what went wrong and, where it makes sense, when to come back."""
    status = ANSWERS[error.kind].status
    extra = []
    if status in _COME_BACK:
        extra.append(("Retry-After", str(RETRY_AFTER_S)))
    return _answer(status, {"error": error.kind, "detail": error.detail}, extra)


def _answer(
    status: int, body: dict[str, Any], extra: list[tuple[str, str]] | None = None
) -> CallerResponse:
    content = orjson.dumps(body)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
        *(extra or []),
    ]
    return CallerResponse(f"{status} {_STATUS_TEXT[status]}", headers, content)
