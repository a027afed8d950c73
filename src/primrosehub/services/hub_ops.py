"""The readiness check for the platform's load balancer, and metrics for operators."""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from typing import Any

from gevent.pywsgi import WSGIServer

from primrosehub.border.address import parse_address
from primrosehub.border.http_server import NoDelayHandler
from primrosehub.kernel import Kernel
from primrosehub.platform.wire import READY_PATH
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import CLUSTER_CONFIG, OWNERSHIP

_TEXT_HEADERS = [("Content-Type", "text/plain; charset=utf-8")]


class HubOps:
    """Serve the readiness check and /metrics."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def start(self, stack: ExitStack) -> None:
        """Listen until the stack closes."""
        self._metrics: Any = self._kernel.find(METRICS)
        self._config = self._kernel.find(CLUSTER_CONFIG)
        self._ownership = self._kernel.find(OWNERSHIP)
        settings = self._kernel.settings
        addresses = [settings.ready]
        if settings.ops_ports:
            addresses.append(f"{settings.ip}:{settings.ops_ports[0]}")
        for address in addresses:
            server = WSGIServer(
                parse_address(address).pair,
                self._handle_http,
                log=None,
                error_log=None,
                handler_class=NoDelayHandler,
            )
            server.start()
            stack.callback(server.stop, 0)

    def _handle_http(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        match environ["PATH_INFO"]:
            case path if path == READY_PATH:
                ready = self._is_ready()
                start_response("200 OK" if ready else "503 Not ready", _TEXT_HEADERS)
                return [b"ready\n" if ready else b"not ready\n"]
            case "/metrics":
                return self._render_metrics(environ, start_response)
        start_response("404 Not Found", _TEXT_HEADERS)
        return [b"use /metrics\n"]

    def _is_ready(self) -> bool:
        return bool(self._config.current.version) and not self._kernel.stopping.is_set()

    def _render_metrics(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._metrics.gauge("cpu_seconds", usage.ru_utime + usage.ru_stime)
        self._metrics.gauge("memory_peak_kib", usage.ru_maxrss)
        self._metrics.gauge("owner_epoch", self._ownership.known_owner.epoch)
        content, headers = self._metrics.render(
            environ.get("HTTP_ACCEPT", "text/plain")
        )
        start_response("200 OK", list(headers.items()))
        return [content]
