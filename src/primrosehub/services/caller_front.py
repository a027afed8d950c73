"""The HTTP server for callers; the intake service makes the decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import ExitStack
from typing import Any

import gevent

from primrosehub.border.address import parse_address
from primrosehub.border.http_server import DrainableServer, RequestTasks
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.logs import log
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.platform import callers
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import CLUSTER_CONFIG, INTAKE

DEFAULT_WAIT_S = 3.0  # for callers that send no deadline
# For requests in progress when the daemon ends without a planned stop.
CLOSE_TIMEOUT_S = 1.0
# At the end of a drain, for sending the responses to requests that are not answered.
ANSWER_RESERVE_S = 0.3
QUIET_CHECK_INTERVAL_S = 0.05


class CallerFront:
    """Serve HTTP requests, each connection in a task of its own."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._requests = RequestTasks()
        self._last_response_at = float("-inf")

    @property
    def in_flight(self) -> int:
        """Return how many requests are being answered."""
        return len(self._requests)

    def start(self, stack: ExitStack) -> None:
        """Listen until the stack closes."""
        self._intake = self._kernel.find(INTAKE)
        self._config = self._kernel.find(CLUSTER_CONFIG)
        self._metrics = self._kernel.find(METRICS)
        address = parse_address(self._kernel.settings.callers)
        self._server = DrainableServer(
            address.pair, self._handle_http, log=None, error_log=None, backlog=512
        )
        self._server.start()
        stack.callback(self._close)

    def wait_for_quiet(self, quiet_s: float, limit_s: float) -> None:
        """Wait until there was no request for ``quiet_s``, for at most ``limit_s``."""
        began_at = steady_s()
        quiet = False
        while not quiet and steady_s() - began_at < limit_s:
            gevent.sleep(QUIET_CHECK_INTERVAL_S)
            quiet_since = max(began_at, self._last_response_at)
            quiet = not self.in_flight and steady_s() - quiet_since > quiet_s
        log(
            "callers_awaited",
            quiet=quiet,
            in_flight=self.in_flight,
            connections=self._server.open_connections,
            took_ms=round((steady_s() - began_at) * 1000),
        )

    def drain(self, limit_s: float) -> None:
        """Answer the requests that have arrived, then end all connections.

        A request that is still in progress shortly before the limit gets an error.
        """
        began_at = steady_s()
        connections = self._server.open_connections
        self._server.drain(max(0.0, limit_s - ANSWER_RESERVE_S))
        interrupted = self.in_flight
        self._requests.interrupt()
        self._server.drain(ANSWER_RESERVE_S)
        log(
            "callers_drained",
            connections=connections,
            left=self._server.active_connections,
            in_flight=self.in_flight,
            interrupted=interrupted,
            discarded=self._server.discarded_requests,
            took_ms=round((steady_s() - began_at) * 1000),
        )

    def _close(self) -> None:
        """Accept no more connections; wait for the requests in progress."""
        self._server.close()
        deadline = steady_s() + CLOSE_TIMEOUT_S
        while self.in_flight and steady_s() < deadline:
            gevent.sleep(0.02)
        self._server.stop(0)

    def _handle_http(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        started_at = steady_s()
        with self._requests.track(_unfinished_error(environ["REQUEST_METHOD"])):
            response = self._build_response(environ, started_at)
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
            request = callers.decode_request(
                environ, DEFAULT_WAIT_S, self._config.current.max_body_bytes
            )
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


def _unfinished_error(method: str) -> HubError:
    """Return the error for a request that is in progress when the daemon ends."""
    if method == "GET":
        return HubError(ErrorKind.UNAVAILABLE, "the daemon is stopping; send it again")
    return HubError(ErrorKind.OUTCOME_UNKNOWN, "the daemon is stopping; send it again")
