"""Write and read a stand-in's journal of events, one JSON object per line."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import orjson


class Journal:
    """Append events with the machine's monotonic time in seconds."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path else None

    def write(self, event: str, **fields: Any) -> None:
        """Append one event."""
        if self._file:
            line = {"at": time.monotonic(), "event": event, **fields}
            self._file.write(orjson.dumps(line) + b"\n")


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the events of a journal."""
    if not path.exists():
        return []
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]
