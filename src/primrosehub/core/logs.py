"""Write each event as one line of key=value pairs."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import eliot
from logfmter import Logfmter

_OMITTED = {"task_uuid", "task_level", "timestamp", "message_type"}


def log(event: str, **fields: Any) -> None:
    """Log an event with its fields."""
    eliot.log_message(event, **fields)


def log_to(stream: TextIO = sys.stderr) -> None:
    """Send all events to the stream."""

    def write(message: dict[str, Any]) -> None:
        fields = {k: v for k, v in message.items() if k not in _OMITTED}
        head = {"at": f"{message['timestamp']:.3f}", "event": message["message_type"]}
        stream.write(Logfmter.format_params(head | fields) + "\n")
        stream.flush()

    eliot.add_destinations(write)
