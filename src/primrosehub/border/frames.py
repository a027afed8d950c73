"""Calls between this project's daemons: length-prefixed frames over TCP.

A connection carries one call at a time. If a call gets no response, the connection is
closed, so that a late response is not taken for the response to a later call. The next
call opens a new connection.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer

MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class CallFailed(Exception):
    """Report that a call got no complete response."""


class CallRefused(CallFailed):
    """Report that nothing listens at the address."""


class FrameClient:
    """Call one peer over a connection that stays open until a call fails."""

    def __init__(self, ip: str, port: int) -> None:
        self._address = (ip, port)
        self._sock: socket.socket | None = None

    def call(self, body: bytes, timeout_s: float) -> bytes:
        """Return the response to a call; raise CallFailed."""
        try:
            with gevent.Timeout(timeout_s):
                if self._sock is None:
                    self._sock = socket.create_connection(self._address)
                    self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                _send(self._sock, body)
                return _receive(self._sock)
        except ConnectionRefusedError as error:
            raise CallRefused(str(error)) from None
        except (OSError, EOFError, gevent.Timeout) as error:
            self.close()
            raise CallFailed(str(error) or "no response before the timeout") from None
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class FrameServer:
    """Serve the calls of each connection in a task of its own."""

    def __init__(
        self,
        ip: str,
        port: int,
        handle_call: Callable[[bytes], bytes],
        max_connections: int,
    ) -> None:
        self._handle_call = handle_call
        self._server = StreamServer((ip, port), self._serve, spawn=max_connections)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                _send(sock, self._handle_call(_receive(sock)))
        except (OSError, EOFError, ValueError):
            # The caller disconnected or sent an invalid call; it will reconnect.
            return


def _send(sock: socket.socket, body: bytes) -> None:
    sock.sendall(_LENGTH.pack(len(body)) + body)


def _receive(sock: socket.socket) -> bytes:
    (length,) = _LENGTH.unpack(_read(sock, _LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise EOFError(
            f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
        )
    return _read(sock, length)


def _read(sock: socket.socket, length: int) -> bytes:
    parts = []
    while length:
        part = sock.recv(min(length, 65536))
        if not part:
            raise EOFError("the connection closed in the middle of a frame")
        parts.append(part)
        length -= len(part)
    return b"".join(parts)
