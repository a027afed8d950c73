"""Stand in for a backend server with a fixed number of slots."""

from __future__ import annotations

from typing import Any
from urllib.parse import parse_qs

import gevent

from primrosehub_standins.journal import Journal
from primrosehub_standins.web import (
    CloseConnection,
    Hang,
    StartResponse,
    body_of,
    json_of,
    reply_json,
)

_DEFAULT_MS = 5.0


class BackendStandin:
    """Echo the request after a delay of ``ms`` milliseconds, given in the query."""

    def __init__(self, name: str, slots: int, journal: Journal) -> None:
        self._name = name
        self._slots = slots
        self._journal = journal
        self._busy = 0
        self._mute = self._down = self._truncate = False
        self._slow_s = 0.0

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == "/fault":
            fault = json_of(environ)
            self._mute = fault.get("mute", self._mute)
            self._down = fault.get("down", self._down)
            self._truncate = fault.get("truncate", self._truncate)
            self._slow_s = fault.get("slow_s", self._slow_s)
            return reply_json(start, {})
        if self._down:
            raise CloseConnection
        if path == "/health":
            return reply_json(start, {"state": "healthy"})
        return self._work(environ, start)

    def _work(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        request_id = environ.get("HTTP_PRIMROSEHUB_REQUEST_ID", "")
        body = body_of(environ)
        if self._busy >= self._slots:
            self._journal.write("refuse", host=self._name, id=request_id)
            start("503 Busy", [("Primrosehub-Not-Run", "true")])
            return [b""]
        self._busy += 1
        self._journal.write(
            "begin", host=self._name, id=request_id, busy=self._busy, bytes=len(body)
        )
        try:
            return self._answer(environ, start, request_id, body)
        finally:
            self._busy -= 1
            self._journal.write("end", host=self._name, id=request_id)

    def _answer(
        self,
        environ: dict[str, Any],
        start: StartResponse,
        request_id: str,
        body: bytes,
    ) -> list[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        ms = float(query.get("ms", [_DEFAULT_MS])[0])
        gevent.sleep(ms / 1000 + self._slow_s)
        if self._mute:
            raise Hang
        answer = body or b'{"echo": "%s"}\n' % environ["PATH_INFO"].encode()
        length = len(answer) + (100 if self._truncate else 0)
        start(
            "200 OK",
            [
                ("Content-Type", environ.get("CONTENT_TYPE") or "application/json"),
                ("Content-Length", str(length)),
                ("Primrosehub-Request-Id", request_id),
            ],
        )
        if self._truncate:
            environ["wsgi.input"].rfile.close()
        return [answer]
