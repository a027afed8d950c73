"""Send HTTP requests over reused connections, each request at most once.

The client class of geventhttpclient resends a request when a reused connection
turns out to be closed. The server may then run it twice, so only the response
parser of that package is used here, and a request is never resent.
"""

from __future__ import annotations

import select as blocking_select
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field

import gevent
from gevent import monkey, socket
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)

_READ_BLOCK_BYTES = 16384
_MAX_BODY_BYTES = 8 * 1024 * 1024
_FIRST_FINAL_STATUS = 200  # responses with a 1xx status precede the final one
_poll = monkey.get_original("select", "poll")


class NotSent(Exception):
    """Report that no byte of the request was sent, so it certainly did not run."""


class NoKeptConnection(NotSent):
    """Report that no idle connection could be used."""


class NoAnswer(Exception):
    """Report that a request was sent, at least in part, but not fully answered."""


@dataclass(slots=True)
class Response:
    """Hold a complete response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if there is none."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


def encode_request(
    method: str,
    target: str,
    host: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
) -> bytes:
    """Return the bytes of an HTTP/1.1 request; a Host header replaces ``host``."""
    headers = list(headers)
    lines = [f"{method} {target} HTTP/1.1"]
    if all(name.lower() != "host" for name, _ in headers):
        lines.append(f"Host: {host}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass(slots=True)
class HttpEndpoint:
    """Keep idle connections to one address and reuse them, one exchange at a time.

    ``on_bytes_transferred`` is called after each completed exchange with the number of
    bytes sent and received.
    """

    ip: str
    port: int
    max_idle: int = 8
    on_bytes_transferred: Callable[[int], None] | None = None
    _idle: list[socket.socket] = field(default_factory=list)
    _busy: set[socket.socket] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Return the address as written in a Host header."""
        return f"{self.ip}:{self.port}"

    @property
    def has_idle(self) -> bool:
        """Tell whether an idle connection can be used."""
        while self._idle and not _is_reusable(self._idle[-1]):
            self._idle.pop().close()
        return bool(self._idle)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def abort(self) -> None:
        """Close all connections; exchanges in progress raise NoAnswer."""
        self.close()
        for sock in self._busy:
            with suppress(OSError):  # the peer may have closed it already
                sock.shutdown(socket.SHUT_RDWR)

    def exchange(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        *,
        timeout_s: float,
        new_connection: bool = False,
        kept_connection: bool = False,
    ) -> Response:
        """Send a request once and return its response; raise NotSent or NoAnswer.

        ``new_connection`` uses no idle connection: the peer may have closed one without
        our knowing, and it would then be unknown whether the request ran.
        ``kept_connection`` uses only an idle one: a new one may lead to a peer that has
        restarted since.
        """
        request = encode_request(method, target, self.address, headers, body)
        exchange_timeout = gevent.Timeout.start_new(timeout_s)
        try:
            if kept_connection and not self.has_idle:
                raise NoKeptConnection(f"{self.address}: no idle connection")
            sock = self._connect(new_connection, exchange_timeout)
            return self._send(sock, request, method, exchange_timeout)
        finally:
            exchange_timeout.close()

    def _connect(
        self, new_connection: bool, exchange_timeout: gevent.Timeout
    ) -> socket.socket:
        while self._idle and not new_connection:
            sock = self._idle.pop()
            if _is_reusable(sock):
                return sock
            sock.close()
        try:
            sock = socket.create_connection((self.ip, self.port))
        except gevent.Timeout as timeout:
            if timeout is not exchange_timeout:
                raise
            raise NotSent(f"{self.address}: no connection before the timeout") from None
        except OSError as error:
            raise NotSent(f"{self.address}: {error.strerror}") from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _send(
        self,
        sock: socket.socket,
        request: bytes,
        method: str,
        exchange_timeout: gevent.Timeout,
    ) -> Response:
        reusable = False
        self._busy.add(sock)
        try:
            sock.sendall(request)
            parser = _read_response(sock, method)
            if self.on_bytes_transferred:
                self.on_bytes_transferred(len(request) + parser.received_bytes)
            reusable = parser.should_keep_alive()
            return Response(
                parser.status_code, list(parser.items()), b"".join(parser.parts)
            )
        except gevent.Timeout as timeout:
            if timeout is not exchange_timeout:
                raise
            raise NoAnswer(f"{self.address}: no response before the timeout") from None
        except (OSError, HTTPParseError) as error:
            raise NoAnswer(f"{self.address}: {error}") from None
        finally:
            self._busy.discard(sock)
            if reusable and len(self._idle) < self.max_idle:
                self._idle.append(sock)
            else:
                sock.close()


class _ResponseParser(HTTPResponse):
    """Collect one final response and reject bytes that follow it."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.parts: list[bytes] = []
        self.body_bytes = 0
        self.received_bytes = 0
        self.final = False

    def _on_message_begin(self) -> None:
        if self.final:
            raise HTTPProtocolViolationError("unexpected bytes after the response")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.final = self.get_code() >= _FIRST_FINAL_STATUS

    def _on_body(self, buf: bytearray) -> None:
        self.body_bytes += len(buf)
        self.parts.append(bytes(buf))


def _read_response(sock: socket.socket, method: str) -> _ResponseParser:
    parser = _ResponseParser(method)
    while not parser.final:
        data = sock.recv(_READ_BLOCK_BYTES)
        parser.received_bytes += len(data)
        parser.feed(data)
        if not data and not parser.final:
            raise ConnectionError(
                "the connection closed before the end of the response"
            )
        if parser.body_bytes > _MAX_BODY_BYTES:
            raise ConnectionError(f"the response body exceeds {_MAX_BODY_BYTES} bytes")
    return parser


def _is_reusable(sock: socket.socket) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
    poller = _poll()
    poller.register(sock.fileno(), blocking_select.POLLIN)
    return not poller.poll(0)
