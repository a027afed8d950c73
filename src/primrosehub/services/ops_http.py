"""The HTTP server for operators: metrics, health and readiness of a daemon."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from gevent.pywsgi import WSGIServer

from primrosehub.border.http_server import NoDelayHandler
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import CONFIGURATION, MEMBERSHIP

_SERVER_OPTIONS = {"log": None, "handler_class": NoDelayHandler}
_TEXT_HEADERS = [("Content-Type", "text/plain; charset=utf-8")]


class OpsServer:
    """Serve /metrics, /healthz and /readyz."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._started_at = time.monotonic()

    def start(self, stack: ExitStack) -> None:
        """Start listening; stop when the stack closes."""
        self._metrics: Any = self._kernel.find(METRICS)
        self._configuration = self._kernel.find(CONFIGURATION)
        self._membership = self._kernel.find(MEMBERSHIP)
        address = self._kernel.settings.ops
        server = WSGIServer(
            (str(address.ip), address.port), self._answer, **_SERVER_OPTIONS
        )
        server.start()
        stack.callback(server.stop, 1.0)

    def _answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        match environ["PATH_INFO"]:
            case "/healthz":
                start_response("200 OK", _TEXT_HEADERS)
                return [b"ok\n"]
            case "/readyz":
                ready = (
                    self._configuration.trusted and not self._kernel.stopping.is_set()
                )
                start_response("200 OK" if ready else "503 Not ready", _TEXT_HEADERS)
                return [b"ready\n" if ready else b"not ready\n"]
            case "/metrics":
                return self._render_metrics(environ, start_response)
        start_response("404 Not Found", _TEXT_HEADERS)
        return [b"use /metrics, /healthz or /readyz\n"]

    def _render_metrics(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._metrics.gauge("cpu_seconds", usage.ru_utime + usage.ru_stime)
        self._metrics.gauge("memory_kib", _resident_kib())
        self._metrics.gauge("uptime_seconds", time.monotonic() - self._started_at)
        self._metrics.gauge("members_live", len(self._membership.view.live))
        accepts = environ.get("HTTP_ACCEPT", "text/plain")
        content, headers = self._metrics.render(accepts)
        start_response("200 OK", list(headers.items()))
        return [content]


def _resident_kib() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1024
