"""Structured logging: each event is one line of key=value pairs."""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import eliot
import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write
from logfmter import Logfmter

_OMITTED = {"task_uuid", "task_level", "timestamp", "message_type"}
MAX_PENDING_LINES = 5000  # about one second of output of the busiest daemon
FLUSH_S = 0.1  # pause between writes, and timeout of the final write
BLOCK_BYTES = 4000  # below the limit for atomic writes to a pipe


def log(event: str, **fields: Any) -> None:
    """Log an event with its fields."""
    eliot.log_message(event, **fields)


def log_to(stream: TextIO = sys.stderr) -> None:
    """Send all events to the stream."""

    def write(message: dict[str, Any]) -> None:
        stream.write(_line(message))
        stream.flush()

    eliot.add_destinations(write)


def log_to_stdout() -> Callable[[], None]:
    """Send all events to stdout without blocking on a slow reader.

    Lines beyond ``MAX_PENDING_LINES`` are dropped, and the next write says how many.
    Return a function that writes the pending lines, to be called before exit.
    """
    writer = _StdoutWriter(sys.stdout.fileno())
    eliot.add_destinations(writer.add)
    gevent.spawn(writer.run)
    return writer.flush


class _StdoutWriter:
    """Buffer a bounded number of lines for a greenlet that writes them."""

    def __init__(self, descriptor: int) -> None:
        make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._wake = Event()

    def add(self, message: dict[str, Any]) -> None:
        """Add a line, or drop it if too many are pending."""
        if len(self._lines) >= MAX_PENDING_LINES:
            self._dropped += 1
            return
        self._lines.append(_line(message))
        self._wake.set()

    def run(self) -> None:
        """Write pending lines as fast as the reader accepts them."""
        while True:
            self._wake.wait()
            gevent.sleep(FLUSH_S)
            self._wake.clear()
            self._write_pending()

    def flush(self) -> None:
        """Write pending lines for at most ``FLUSH_S``."""
        with gevent.Timeout(FLUSH_S, False):
            self._write_pending()

    def _write_pending(self) -> None:
        if self._dropped:
            self._lines.append(f"event=log_lines_dropped count={self._dropped}\n")
            self._dropped = 0
        while self._lines:
            self._write(self._next_block())

    def _next_block(self) -> bytes:
        """Return at least one whole line, and as many as fit into an atomic write."""
        block = self._lines.popleft().encode()
        while self._lines and len(block) + len(self._lines[0]) <= BLOCK_BYTES:
            block += self._lines.popleft().encode()
        return block

    def _write(self, data: bytes) -> None:
        while data:
            data = data[nb_write(self._descriptor, data) :]


def _line(message: dict[str, Any]) -> str:
    fields = {k: v for k, v in message.items() if k not in _OMITTED}
    head = {"at": f"{message['timestamp']:.3f}", "event": message["message_type"]}
    return Logfmter.format_params(head | fields) + "\n"
