"""The HTTP server for callers; the intake service makes the decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import ExitStack
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer

from primrosehub.border.http_server import NoDelayHandler
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.logs import log
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.platform import callers
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import CLUSTER_CONFIG, INTAKE

DEFAULT_WAIT_S = 3.0  # for callers that send no deadline
# For requests that are read while the daemon closes; within its grace period.
CLOSE_TIMEOUT_S = 1.0


class CallerFront:
    """Serve HTTP requests, each connection in a task of its own."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._in_flight = 0
        self._last_response_at = float("-inf")

    @property
    def in_flight(self) -> int:
        """Return how many requests are being answered."""
        return self._in_flight

    def start(self, stack: ExitStack) -> None:
        """Listen until the stack closes."""
        self._intake = self._kernel.find(INTAKE)
        self._config = self._kernel.find(CLUSTER_CONFIG)
        self._metrics = self._kernel.find(METRICS)
        ip, _, port = self._kernel.settings.callers.rpartition(":")
        server = WSGIServer(
            (ip, int(port)),
            self._handle_http,
            log=None,
            error_log=None,
            handler_class=NoDelayHandler,
            backlog=512,
        )
        server.start()
        stack.callback(self._close, server)

    def drain(self, quiet_s: float, limit_s: float) -> None:
        """Wait until there was no request for ``quiet_s``, for at most ``limit_s``."""
        deadline = steady_s() + limit_s
        while steady_s() < deadline:
            gevent.sleep(0.05)
            if not self._in_flight and steady_s() - self._last_response_at > quiet_s:
                return

    def _close(self, server: WSGIServer) -> None:
        """Accept no more connections; wait for the requests in progress."""
        server.stop(0)
        deadline = steady_s() + CLOSE_TIMEOUT_S
        while self._in_flight and steady_s() < deadline:
            gevent.sleep(0.02)

    def _handle_http(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        started_at = steady_s()
        self._in_flight += 1
        try:
            response = self._build_response(environ, started_at)
        finally:
            self._in_flight -= 1
            self._last_response_at = steady_s()
        headers = response.headers
        if self._kernel.stopping.is_set():
            headers = [*headers, ("Connection", "close")]
        start_response(response.status, headers)
        self._metrics.count("caller_answers", status=response.status[:3])
        return [response.body]

    def _build_response(
        self, environ: dict[str, Any], started_at: float
    ) -> callers.CallerResponse:
        try:
            limit = self._config.current.max_body_bytes
            if int(environ.get("CONTENT_LENGTH") or 0) > limit:
                raise HubError(ErrorKind.TOO_LARGE, f"at most {limit} bytes")
            request = callers.decode_request(environ, DEFAULT_WAIT_S)
            return self._dispatch(request)
        except HubError as error:
            log(
                "caller_refused",
                path=environ.get("PATH_INFO", "")[-60:],
                method=environ.get("REQUEST_METHOD", ""),
                kind=error.kind,
                detail=error.detail[:200],
                config=self._config.current.version,
                took_ms=round((steady_s() - started_at) * 1000),
            )
            return callers.encode_error(error)
        except (OSError, ValueError) as error:
            log("caller_unreadable", reason=repr(error)[:200])
            malformed = HubError(ErrorKind.BAD_REQUEST, "the request is unreadable")
            return callers.encode_error(malformed)

    def _dispatch(self, request: callers.CallerRequest) -> callers.CallerResponse:
        target = (request.host, request.path, request.secret)
        match request.method:
            case "POST":
                spec = callers.decode_job(request.body)
                self._intake.submit(*target, spec, request.wait_s)
                return callers.encode_accepted()
            case "GET" if request.path.endswith("/"):
                return callers.encode_waiting_count(
                    self._intake.waiting(*target, request.wait_s)
                )
            case "GET":
                return callers.encode_state(self._intake.state(*target, request.wait_s))
            case "DELETE":
                self._intake.cancel(*target, request.wait_s)
                return callers.encode_accepted()
        raise HubError(ErrorKind.METHOD_NOT_ALLOWED, "use POST, GET or DELETE")
