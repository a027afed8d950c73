"""Stand in for the platform's object store and its host list."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import Any

import orjson

from primrosehub_standins.web import (
    CloseConnection,
    StartResponse,
    body_of,
    json_of,
    reply_json,
)


class ObjectsStandin:
    """Keep objects in memory."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self._down = False

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one request."""
        name = environ["PATH_INFO"].removeprefix("/v1/objects/")
        if name == "/fault":
            self._down = json_of(environ)["down"]
            return reply_json(start, {})
        if self._down:
            raise CloseConnection
        if environ["REQUEST_METHOD"] == "PUT":
            self._objects[name] = body_of(environ)
            return reply_json(start, {}, "201 Created")
        if name not in self._objects:
            return reply_json(start, {}, "404 Not Found")
        start("200 OK", [("Content-Type", "application/octet-stream")])
        return [self._objects[name]]


class HostListStandin:
    """Serve the hosts of a JSON file; PUT changes a host's entry, DELETE removes it."""

    def __init__(self, path: Path) -> None:
        self._hosts = {host["name"]: host for host in orjson.loads(path.read_bytes())}

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one request."""
        name = environ["PATH_INFO"].removeprefix("/v1/hosts").lstrip("/")
        match environ["REQUEST_METHOD"]:
            case "PUT":
                self._hosts[name] = self._hosts.get(name, {}) | json_of(environ)
                return reply_json(start, {})
            case "DELETE":
                self._hosts.pop(name, None)
                return reply_json(start, {})
        content = orjson.dumps(list(self._hosts.values()))
        tag = f'"{hashlib.sha256(content).hexdigest()[:16]}"'
        if environ.get("HTTP_IF_NONE_MATCH") == tag:
            start("304 Not Modified", [("ETag", tag)])
            return []
        start("200 OK", [("Content-Type", "application/json"), ("ETag", tag)])
        return [content]
