"""The HTTP server for callers: it decodes requests and encodes answers."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import gevent
import orjson
from gevent.pool import Pool

from primrosehub.border.caller_models import (
    JobSubmission,
    job_document,
    problem_document,
)
from primrosehub.border.codec import decode_from_caller
from primrosehub.border.http_server import (
    DrainableHandler,
    DrainableServer,
    RequestTasks,
)
from primrosehub.core.errors import ErrorKind, HubError, RequestAbandoned
from primrosehub.core.logs import log
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import (
    ADMISSION,
    CONFIGURATION,
    JOBS,
    QUICK,
    QuickRequest,
)

# Idempotent by the definition of HTTP (RFC 9110).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
# Headers that concern one connection only, or are set anew for each; not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)
# Request headers for the entry daemon itself; not forwarded.
ENTRY_DAEMON_HEADERS = frozenset(
    {"primrosehub-key", "primrosehub-deadline-ms", "primrosehub-idempotent"}
)
MAX_IDEMPOTENCY_KEY_CHARS = 255
MAX_JOBS_PER_PAGE = 200
MAX_DEADLINE_MS = 3_600_000  # one hour
ABANDON_TIMEOUT_S = 0.5  # to answer the requests that are abandoned
_PROBLEM = "application/problem+json"
_JSON = "application/json"


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class _CallersHandler(DrainableHandler):
    """Close connections on which a request's head does not arrive in time."""

    def read_requestline(self) -> str:
        # The same timeout limits how long a kept-alive connection may be idle.
        with gevent.Timeout(self.server.header_timeout_s, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> Any:
        with gevent.Timeout(self.server.header_timeout_s, False):
            return super().read_request(raw_requestline)
        return False


class CallersServer:
    """Serve callers, with one task for each connection."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings
        self._requests = RequestTasks()

    def start(self, stack: ExitStack) -> None:
        """Start listening; stop when the stack closes."""
        self._admission = self._kernel.find(ADMISSION)
        self._configuration = self._kernel.find(CONFIGURATION)
        self._jobs = self._kernel.find(JOBS)
        self._metrics = self._kernel.find(METRICS)
        self._quick = self._kernel.find(QUICK)
        address = self._settings.callers
        self._server = DrainableServer(
            (str(address.ip), address.port),
            self._serve,
            handler_class=_CallersHandler,
            spawn=Pool(self._settings.max_connections),
            log=None,
            error_log=_ErrorLog(),
        )
        self._server.header_timeout_s = self._settings.header_timeout_s
        self._server.start()
        stack.callback(self._server.stop, 1.0)

    def drain(self, limit_s: float) -> None:
        """Answer the requests that have arrived, then end all connections.

        Requests still in progress after ``limit_s`` are told so.
        """
        began_at = steady_s()
        connections = self._server.open_connections
        # Connections above the limit wait in the listener's queue, which ends with it.
        self._server.set_spawn(Pool())
        self._server.start_accepting()
        self._server.drain(limit_s)
        abandoned = len(self._requests)
        self._requests.interrupt()
        self._server.drain(ABANDON_TIMEOUT_S)
        log(
            "callers_drained",
            connections=connections,
            left=self._server.active_connections,
            abandoned=abandoned,
            discarded=self._server.discarded_requests,
            took_ms=round((steady_s() - began_at) * 1000),
        )

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        try:
            with self._requests.track(RequestAbandoned()):
                reply = self._route(environ)
        except HubError as error:
            self._metrics.count("caller_errors", kind=error.kind)
            reply = _problem(error)
        except RequestAbandoned:
            log("request_abandoned", path=environ["PATH_INFO"])
            self._metrics.count("caller_errors", kind=ErrorKind.OUTCOME_UNKNOWN)
            reply = _problem(
                HubError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the entry daemon stopped before the answer was complete; repeat "
                    "the request if it is idempotent, else check whether it ran",
                )
            )
        except Exception as error:  # noqa: BLE001 - answered, logged and counted
            log("request_failed", path=environ["PATH_INFO"], error=repr(error))
            self._metrics.count("caller_errors", kind=ErrorKind.INTERNAL)
            reply = _problem(
                HubError(
                    ErrorKind.INTERNAL,
                    "the entry daemon failed on this request; an operator finds the "
                    "error in its log",
                )
            )
        headers = reply.headers
        if self._kernel.stopping.is_set():
            headers = [*headers, ("Connection", "close")]
        start_response(_status_line(reply.status), headers)
        return [reply.body]

    def _route(self, environ: dict[str, Any]) -> _Reply:
        method = environ["REQUEST_METHOD"]
        match environ["PATH_INFO"].split("/", 4)[1:]:
            case ["v1", "call", service, *rest]:
                return self._call(environ, service, "/".join(rest))
            case ["v1", "jobs"] if method == "POST":
                return self._submit_job(environ)
            case ["v1", "jobs"] if method == "GET":
                return self._list_jobs(environ)
            case ["v1", "jobs", job_id] if method in ("GET", "DELETE"):
                return self._read_or_cancel_job(environ, method, job_id)
            case ["v1", "jobs"] | ["v1", "jobs", _]:
                raise HubError(
                    ErrorKind.METHOD_NOT_ALLOWED,
                    f"{method} is not supported here; use GET or POST on /v1/jobs, "
                    "GET or DELETE on /v1/jobs/ID",
                )
        raise HubError(
            ErrorKind.NOT_FOUND,
            f"there is nothing at {environ['PATH_INFO']!r}; "
            "use /v1/call/SERVICE/PATH, /v1/jobs or /v1/jobs/ID",
        )

    def _call(self, environ: dict[str, Any], service: str, path: str) -> _Reply:
        query = environ.get("QUERY_STRING", "")
        raw_path = environ.get("RAW_URI", "").partition("?")[0]
        rest = raw_path.split("/", 4)[4] if raw_path.count("/") > 3 else path
        headers = _request_headers(environ)
        idempotent = _boolean_header(
            environ,
            "HTTP_PRIMROSEHUB_IDEMPOTENT",
            environ["REQUEST_METHOD"] in IDEMPOTENT_METHODS,
        )
        answer = self._quick.run(
            QuickRequest(
                service=service,
                method=environ["REQUEST_METHOD"],
                target=f"/{rest}?{query}" if query else f"/{rest}",
                headers=headers,
                body=self._read_body(environ),
                secret=environ.get("HTTP_PRIMROSEHUB_KEY"),
                deadline_s=_deadline_s(environ),
                idempotent=idempotent,
                idempotency_key=_idempotency_key(environ),
            )
        )
        response_headers = [
            h for h in answer.headers if h[0].lower() not in HOP_BY_HOP_HEADERS
        ]
        response_headers.append(("Primrosehub-Backend", answer.backend))
        return _Reply(answer.status, response_headers, answer.body)

    def _submit_job(self, environ: dict[str, Any]) -> _Reply:
        submission = decode_from_caller(JobSubmission, self._read_body(environ))
        key = _idempotency_key(environ)
        if not key:
            raise HubError(
                ErrorKind.BAD_REQUEST,
                "the Idempotency-Key header is missing; send one, so that a repeated "
                "submission is not stored twice",
            )
        config = self._configuration.current
        queue = config.queues.get(submission.queue)
        if queue is None:
            raise HubError(
                ErrorKind.NOT_FOUND,
                f"there is no queue {submission.queue!r}; check the field 'queue'",
            )
        secret = environ.get("HTTP_PRIMROSEHUB_KEY")
        team = self._admission.team_for(queue.access, secret, f"queue {queue.name}")
        job, is_new = self._jobs.submit(submission.to_core(team, config), key)
        return _json(201 if is_new else 200, job_document(job))

    def _list_jobs(self, environ: dict[str, Any]) -> _Reply:
        team = self._admission.team_of_key(environ.get("HTTP_PRIMROSEHUB_KEY"))
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = query.get("after", [""])[0]
        limit = _page_limit(query.get("limit", [str(MAX_JOBS_PER_PAGE)])[0])
        jobs = self._jobs.list_jobs(team, after, limit)
        next_after = jobs[-1].id if len(jobs) == limit else None
        return _json(200, {"jobs": [job_document(j) for j in jobs], "next": next_after})

    def _read_or_cancel_job(
        self, environ: dict[str, Any], method: str, job_id: str
    ) -> _Reply:
        team = self._admission.team_of_key(environ.get("HTTP_PRIMROSEHUB_KEY"))
        if method == "DELETE":
            return _json(202, job_document(self._jobs.cancel(team, job_id)))
        return _json(200, job_document(self._jobs.read(team, job_id)))

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        limit = self._settings.max_body_bytes
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal():
            raise HubError(
                ErrorKind.BAD_REQUEST,
                f"Content-Length is {length!r}; send the number of bytes of the body",
            )
        if int(length) > limit:
            raise HubError(
                ErrorKind.TOO_LARGE,
                f"the body has {length} bytes; send at most {limit} bytes",
            )
        try:
            with gevent.Timeout(self._settings.header_timeout_s):
                body = environ["wsgi.input"].read(limit + 1)
        except (gevent.Timeout, OSError):
            raise HubError(
                ErrorKind.BAD_REQUEST,
                "the body could not be read within "
                f"{self._settings.header_timeout_s} s; send the request again",
            ) from None
        except RequestAbandoned:
            raise HubError(
                ErrorKind.UNAVAILABLE,
                "this entry daemon stopped before the body was complete; try again",
            ) from None
        if len(body) > limit:
            raise HubError(
                ErrorKind.TOO_LARGE,
                f"the body is too large; send at most {limit} bytes",
            )
        if len(body) < int(length):
            raise HubError(
                ErrorKind.BAD_REQUEST,
                f"the body ended after {len(body)} of {length} bytes; "
                "send the request again",
            )
        return body


class _ErrorLog:
    """Write the WSGI server's own error messages to the log."""

    def write(self, text: str) -> None:
        if text.strip():
            log("http_server", text=text.strip()[:400])

    def flush(self) -> None:
        pass


def _request_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    headers = [
        (name, value)
        for name, value in (
            (key[5:].replace("_", "-").title(), value)
            for key, value in environ.items()
            if key.startswith("HTTP_")
        )
        if name.lower() not in HOP_BY_HOP_HEADERS | ENTRY_DAEMON_HEADERS
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    if "HTTP_PRIMROSEHUB_REQUEST_ID" not in environ:
        headers.append(("Primrosehub-Request-Id", uuid.uuid4().hex))
    return tuple(headers)


def _boolean_header(environ: dict[str, Any], name: str, default: bool) -> bool:
    match environ.get(name):
        case None:
            return default
        case "true":
            return True
        case "false":
            return False
    raise HubError(
        ErrorKind.BAD_REQUEST,
        f"Primrosehub-Idempotent is {environ[name]!r}; send 'true' or 'false'",
    )


def _deadline_s(environ: dict[str, Any]) -> float | None:
    text = environ.get("HTTP_PRIMROSEHUB_DEADLINE_MS")
    if text is None:
        return None
    if not text.isdecimal() or not 1 <= int(text) <= MAX_DEADLINE_MS:
        raise HubError(
            ErrorKind.BAD_REQUEST,
            f"Primrosehub-Deadline-Ms is {text!r}; "
            f"send a whole number from 1 to {MAX_DEADLINE_MS}",
        )
    return int(text) / 1000


def _idempotency_key(environ: dict[str, Any]) -> str:
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS or not key.isprintable() or "/" in key:
        raise HubError(
            ErrorKind.BAD_REQUEST,
            "the Idempotency-Key is too long or has a character that is not allowed; "
            f"send at most {MAX_IDEMPOTENCY_KEY_CHARS} printable characters, no '/'",
        )
    return key


def _page_limit(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= MAX_JOBS_PER_PAGE:
        raise HubError(
            ErrorKind.BAD_REQUEST,
            f"limit is {text!r}; send a whole number from 1 to {MAX_JOBS_PER_PAGE}",
        )
    return int(text)


def _json(status: int, document: Any) -> _Reply:
    body = orjson.dumps(document) + b"\n"
    return _Reply(status, [("Content-Type", _JSON)], body)


def _problem(error: HubError) -> _Reply:
    document = problem_document(error)
    headers = [("Content-Type", _PROBLEM)]
    if document["status"] == HTTPStatus.SERVICE_UNAVAILABLE:
        headers.append(("Retry-After", "1"))
    return _Reply(document["status"], headers, orjson.dumps(document) + b"\n")


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"
