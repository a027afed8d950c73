"""Write each event as one line of key=value pairs."""

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
MAX_PENDING_LINES = 5000  # about one second of the busiest daemon
FLUSH_S = 0.1
BLOCK_BYTES = 4000  # below the size up to which writes to a pipe are atomic


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
    """Send all events to stdout without ever waiting for its reader.

    Lines beyond a bound are dropped and counted in the next line that is written.
    Return a function that writes what is pending, for the end of the process.
    """
    writer = _StdoutWriter(sys.stdout.fileno())
    eliot.add_destinations(writer.add)
    gevent.spawn(writer.run)
    return writer.flush


class _StdoutWriter:
    """Hold a bounded number of lines until a greenlet has written them."""

    def __init__(self, descriptor: int) -> None:
        make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._wake = Event()

    def add(self, message: dict[str, Any]) -> None:
        """Take a line, or drop it if too many wait."""
        if len(self._lines) >= MAX_PENDING_LINES:
            self._dropped += 1
            return
        self._lines.append(_line(message))
        self._wake.set()

    def run(self) -> None:
        """Write what is pending, whenever the reader takes it."""
        while True:
            self._wake.wait()
            gevent.sleep(FLUSH_S)
            self._wake.clear()
            self._write_pending()

    def flush(self) -> None:
        """Write what is pending, for a short time at most."""
        with gevent.Timeout(FLUSH_S, False):
            self._write_pending()

    def _write_pending(self) -> None:
        if self._dropped:
            self._lines.append(f"event=log_lines_dropped count={self._dropped}\n")
            self._dropped = 0
        while self._lines:
            self._write(self._next_block())

    def _next_block(self) -> bytes:
        """Return whole lines that a pipe takes in one piece, at least one line."""
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
