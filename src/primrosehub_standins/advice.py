"""Stand in for the service that knows which worker hosts may run a step."""

from __future__ import annotations

from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from primrosehub_standins.web import StartResponse, json_of, reply_json

DECIDE_S = 0.01
ALLOWED_HOSTS = 2  # the first ones of the hosts that a call names
VALID_MS = 2000


class AdviceRecord:
    """Record the calls in the order served; they wait while ``gate`` is clear."""

    def __init__(self) -> None:
        self.calls: list[Any] = []
        self.gate = Event()
        self.gate.set()


class AdviceStandin:
    """Serve the calls of one daemon one at a time, in the order of their arrival."""

    def __init__(self, record: AdviceRecord) -> None:
        self._record = record
        self._lock = BoundedSemaphore(1)

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one call."""
        call = json_of(environ)
        with self._lock:
            self._record.calls.append(call)
            self._record.gate.wait()
            gevent.sleep(DECIDE_S)
        allowed = [[host, f"ticket-{host}"] for host in call["workers"][:ALLOWED_HOSTS]]
        return reply_json(start, {"allowed": allowed, "validity-ms": VALID_MS})
