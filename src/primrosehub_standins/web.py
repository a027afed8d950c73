"""Provide the HTTP helpers that all stand-ins share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import orjson
from gevent.pywsgi import WSGIServer

from primrosehub.border.http_server import NoDelayHandler

StartResponse = Callable[..., Any]
_JSON = [("Content-Type", "application/json")]


class Hang(Exception):
    """Keep the connection open without an answer."""


class CloseConnection(Exception):
    """Close the connection without an answer."""


class _Handler(NoDelayHandler):
    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if t is CloseConnection:
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


def serve(
    ip: str, port: int, app: Callable[[dict[str, Any], StartResponse], list[bytes]]
) -> WSGIServer:
    """Start a server; an app may raise Hang or CloseConnection."""

    def guarded(environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        try:
            return app(environ, start)
        except Hang:
            gevent.sleep(3600)
            raise CloseConnection from None

    server = WSGIServer((ip, port), guarded, handler_class=_Handler, log=None)
    server.start()
    return server


def body_of(environ: dict[str, Any]) -> bytes:
    """Return the request's body."""
    return environ["wsgi.input"].read()


def json_of(environ: dict[str, Any]) -> Any:
    """Return the request's JSON body."""
    return orjson.loads(body_of(environ) or b"{}")


def reply_json(start: StartResponse, value: Any, status: str = "200 OK") -> list[bytes]:
    """Answer with JSON."""
    start(status, _JSON)
    return [orjson.dumps(value)]
