"""The error kinds and the HTTP response for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """List all kinds of errors that are reported to callers."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    NO_SUCH_JOB = "no_such_job"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    CONFLICT = "conflict"
    ALREADY_SENT = "already_sent"
    TOO_LARGE = "too_large"
    UNRUNNABLE = "unrunnable"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """Describe the HTTP response for an error kind.

    ``not_run`` tells the caller whether the request was not executed; None means that
    this is not known.
    """

    status: int
    title: str
    not_run: bool | None


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, "The request is malformed", True),
    ErrorKind.UNAUTHENTICATED: Answer(401, "The key is missing or not valid", True),
    ErrorKind.FORBIDDEN: Answer(403, "The key's team may not do this", True),
    ErrorKind.NOT_FOUND: Answer(404, "There is no such thing", True),
    ErrorKind.NO_SUCH_JOB: Answer(410, "There is no such job", True),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, "The method does not fit the path", True),
    ErrorKind.CONFLICT: Answer(409, "The request contradicts an earlier one", True),
    ErrorKind.ALREADY_SENT: Answer(409, "The request was sent once before", None),
    ErrorKind.TOO_LARGE: Answer(413, "The body is too large", True),
    ErrorKind.UNRUNNABLE: Answer(422, "No worker host can ever run this job", True),
    ErrorKind.OVERLOADED: Answer(503, "All slots are taken", True),
    ErrorKind.DEADLINE_TOO_SHORT: Answer(503, "The deadline can not be met", True),
    ErrorKind.UNAVAILABLE: Answer(503, "A needed part is unavailable", True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, "It is not known if this ran", None),
    ErrorKind.INTERNAL: Answer(500, "The scheduler itself failed", None),
}


class RequestAbandoned(BaseException):
    """End a request that is still in progress when the process has to exit."""


class HubError(Exception):
    """Carry an error kind and a detail that tells the caller what to do."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
