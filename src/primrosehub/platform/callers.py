"""Decode callers' requests and encode the responses to them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import orjson
from pydantic import Field, TypeAdapter, ValidationError

from primrosehub.border.codec import describe_validation_error
from primrosehub.core.batch import (
    MAX_OCCURRENCES,
    MAX_STEPS,
    MAX_TASKS,
    BatchSpec,
    JobState,
    StepSpec,
)
from primrosehub.core.errors import ANSWERS, ErrorKind, HubError
from primrosehub.core.resources import Resources
from primrosehub.platform import wire

MAX_COMMAND_BYTES = 4000  # the platform's limit on the command of a task
MAX_NUMBER_DIGITS = 12  # of a length or a deadline in a header
_BEARER = "Bearer "
_REASON_PHRASES = {
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


class _Step(wire.WireModel):
    # The number of tasks.
    count: Annotated[int, Field(ge=1, le=MAX_TASKS)] = 1
    cpu: wire.Amount = 0  # millicores
    mem_mb: wire.Amount = 0
    gpu: wire.Amount = 0
    estimated_runtime_ms: wire.Amount = 0
    after: list[Annotated[int, Field(ge=0)]] = []
    checkpointing: bool = False
    gang_scheduled: bool = False
    rack_local: bool = False
    requirements: str = ""  # the label that a worker host must have
    affinity: str = ""  # the rack near the step's data
    max_per_server: wire.Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: wire.Amount = 0
    # Any value but False and 0 marks a step that uses only resources left by others.
    fill_ratio: bool | float = False
    max_unavailable: wire.Amount = 0


class _Job(wire.WireModel):
    spec: str = ""  # the command that the tasks run
    phases: Annotated[list[_Step], Field(min_length=1, max_length=MAX_STEPS)]
    repetitions: Annotated[int, Field(ge=0, le=MAX_OCCURRENCES)] = 0
    start_time_ms: wire.TimeMs = 0  # a Unix time
    interval_ms: wire.Amount = 0


_JOB = TypeAdapter(_Job)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request; ``path`` is a queue's prefix, then a job or nothing.

    ``secret`` is the caller's API key, or None if the request carries no key.
    """

    method: str
    host: str
    path: str
    secret: str | None
    wait_s: float
    body: bytes


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """Hold a response that is ready to be sent."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def decode_request(
    environ: Mapping[str, Any], default_wait_s: float, max_body_bytes: int
) -> CallerRequest:
    """Return the request of a WSGI environment; raise HubError."""
    length = _decode_number(environ.get("CONTENT_LENGTH") or "0", "Content-Length")
    if length > max_body_bytes:
        raise HubError(ErrorKind.TOO_LARGE, f"at most {max_body_bytes} bytes")
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
        wait_s=(
            _decode_number(wait, wire.DEADLINE_MS_HEADER) / 1000
            if wait
            else default_wait_s
        ),
        body=environ["wsgi.input"].read(length) if length else b"",
    )


def _decode_number(text: str, name: str) -> int:
    # int() would also accept signs, spaces and digits of other alphabets.
    valid = text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
    if not valid:
        raise HubError(
            ErrorKind.BAD_REQUEST,
            f"{name} must be a whole number of at most {MAX_NUMBER_DIGITS} digits, "
            f"not {text!r:.40}",
        )
    return int(text)


def decode_job(body: bytes) -> BatchSpec:
    """Return the submitted job; raise bad_request naming the invalid fields."""
    try:
        job = _JOB.validate_json(body)
    except ValidationError as error:
        raise HubError(
            ErrorKind.BAD_REQUEST, describe_validation_error(error)
        ) from None
    if len(job.spec.encode()) > MAX_COMMAND_BYTES:
        raise HubError(ErrorKind.BAD_REQUEST, f"spec exceeds {MAX_COMMAND_BYTES} bytes")
    for number, step in enumerate(job.phases):
        if any(earlier >= number for earlier in step.after):
            raise HubError(
                ErrorKind.BAD_REQUEST,
                f"phases.{number}.after may only name earlier phases",
            )
    return BatchSpec(
        command=job.spec,
        steps=tuple(_decode_step(step) for step in job.phases),
        occurrences=job.repetitions,
        first_due_ms=job.start_time_ms,
        interval_ms=job.interval_ms,
    )


def _decode_step(step: _Step) -> StepSpec:
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
    """Return the response to a submission or a cancellation that was accepted."""
    return _encode_response(200, {})


def encode_state(state: JobState) -> CallerResponse:
    """Return the response that holds a job's state."""
    return _encode_response(200, {"state": str(state)})


def encode_waiting_count(count: int) -> CallerResponse:
    """Return the response that holds how many of a queue's jobs have not begun."""
    return _encode_response(200, {"pending": count})


_RETRYABLE_STATUSES = (429, 503, 504)
# Callers retry for 3 s. With a retry each second, one of them reaches a store that
# recovers within that time.
RETRY_AFTER_S = 1


def encode_error(error: HubError) -> CallerResponse:
    """Return an error response, with a Retry-After header if a retry may succeed."""
    status = ANSWERS[error.kind].status
    extra_headers = []
    if status in _RETRYABLE_STATUSES:
        extra_headers.append(("Retry-After", str(RETRY_AFTER_S)))
    return _encode_response(
        status, {"error": error.kind, "detail": error.detail}, extra_headers
    )


def _encode_response(
    status: int,
    body: dict[str, Any],
    extra_headers: list[tuple[str, str]] | None = None,
) -> CallerResponse:
    content = orjson.dumps(body)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
        *(extra_headers or []),
    ]
    return CallerResponse(f"{status} {_REASON_PHRASES[status]}", headers, content)
