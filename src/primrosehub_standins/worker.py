"""Stand in for a worker host, which runs tasks under a lease and an epoch."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.event import Event

from primrosehub_standins.journal import Journal
from primrosehub_standins.web import (
    CloseConnection,
    Hang,
    StartResponse,
    json_of,
    reply_json,
)

AttemptRef = tuple[str, int, int]


@dataclass(slots=True)
class _Running:
    size: dict[str, int]
    timer: gevent.Greenlet | None


class WorkerStandin:
    """Run "sleep S", "fail S" and "serve" commands, and journal each start and end."""

    def __init__(self, name: str, capacity: dict[str, int], journal: Journal) -> None:
        self._name = name
        self._capacity = capacity
        self._journal = journal
        self._mute = self._cut = self._fails_all = False
        self._ends = 0
        self._ended = Event()
        self._reset()
        gevent.spawn(self._watch_lease)

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] == "/fault":
            fault = json_of(environ)
            self._mute = fault.get("mute", self._mute)
            self._cut = fault.get("cut", self._cut)
            self._fails_all = fault.get("fails_all", self._fails_all)
            if fault.get("restart"):
                self._restart()
            return reply_json(start, {})
        if self._mute:
            raise Hang
        if self._cut:
            raise CloseConnection
        if environ["PATH_INFO"] == "/v1/changes":
            return reply_json(start, self._wait_for_change(environ["QUERY_STRING"]))
        reply = self.sync(json_of(environ))
        if self._mute or self._cut:
            raise CloseConnection
        return reply_json(start, reply)

    def sync(self, request: dict[str, Any]) -> dict[str, Any]:
        """Apply one message of an owner and return a report."""
        if request["epoch"] < self._epoch:
            return self._report(request)
        self._epoch = request["epoch"]
        token = request.get("token")
        now_ms = _now_ms()
        lease_ms = int(request["lease_s"] * 1000)
        lease_valid = (
            token is not None and self._born_ms <= token and now_ms < token + lease_ms
        )
        if lease_valid:
            self._lease_until_ms = max(self._lease_until_ms, token + lease_ms)
        for item in request.get("starts", ()):
            self._start(_ref_from_json(item["ref"]), item, lease_valid)
        for item in request.get("stops", ()):
            self._stop(_ref_from_json(item))
        for item in request.get("acks", ()):
            if self._finished.pop(_ref_from_json(item), None):
                self._changes += 1
        return self._report(request)

    def _wait_for_change(self, query: str) -> dict[str, int]:
        """Return the number of ends so far, once it differs from the caller's."""
        fields = parse_qs(query)
        if self._ends == int(fields["after"][0]):
            self._ended.wait(float(fields["wait_s"][0]))
        return {"ends": self._ends}

    def _reset(self) -> None:
        self._incarnation = uuid.uuid4().hex[:8]
        self._born_ms = _now_ms()
        self._epoch = 0
        self._lease_until_ms = 0
        self._running: dict[AttemptRef, _Running] = {}
        self._finished: dict[AttemptRef, str] = {}
        self._known_refs: set[AttemptRef] = set()
        self._changes = self._born_ms

    def _restart(self) -> None:
        for ref in list(self._running):
            self._end(ref, "lost")
        gevent.sleep(0.002)  # all old tokens are older than the next _born_ms
        self._reset()

    def _start(self, ref: AttemptRef, item: dict[str, Any], lease_valid: bool) -> None:
        if ref in self._known_refs:
            return
        self._known_refs.add(ref)
        size = item["size"]
        same_incarnation = item["host_incarnation"] == self._incarnation
        if not (lease_valid and same_incarnation and self._fits(size)):
            self._finished[ref] = "refused"
            self._announce_end()
            self._journal.write("refuse", host=self._name, ref=ref)
            return
        used = self._used()
        self._journal.write(
            "start", host=self._name, ref=ref, size=size, used=used, epoch=self._epoch
        )
        verb, _, seconds = item["command"].partition(" ")
        outcome = "failed" if verb == "fail" or self._fails_all else "succeeded"
        timer = None
        if verb != "serve":
            timer = gevent.spawn_later(float(seconds or 0), self._end, ref, outcome)
        self._running[ref] = _Running(size, timer)
        self._changes += 1

    def _stop(self, ref: AttemptRef) -> None:
        if ref not in self._known_refs:
            self._known_refs.add(ref)
            self._finished[ref] = "stopped"
            self._changes += 1
        elif ref in self._running:
            self._end(ref, "stopped")

    def _end(self, ref: AttemptRef, outcome: str) -> None:
        if not self._lease_holds() and outcome in ("succeeded", "failed"):
            outcome = "lapsed"
        running = self._running.pop(ref, None)
        if running is None:
            return
        if running.timer is not None and running.timer is not gevent.getcurrent():
            running.timer.kill(block=False)
        self._finished[ref] = outcome
        self._journal.write("end", host=self._name, ref=ref, outcome=outcome)
        self._announce_end()

    def _announce_end(self) -> None:
        self._changes += 1
        self._ends += 1
        self._ended.set()
        self._ended.clear()

    def _watch_lease(self) -> None:
        while True:
            gevent.sleep(0.05)
            if self._running and not self._lease_holds():
                for ref in list(self._running):
                    self._end(ref, "lapsed")

    def _lease_holds(self) -> bool:
        return _now_ms() < self._lease_until_ms

    def _used(self) -> dict[str, int]:
        used = dict.fromkeys(("cpu_m", "memory_mb", "accelerators"), 0)
        for running in self._running.values():
            for name, amount in running.size.items():
                used[name] += amount
        return used

    def _fits(self, size: dict[str, int]) -> bool:
        used = self._used()
        return all(
            used[name] + amount <= self._capacity.get(name, 0)
            for name, amount in size.items()
        )

    def _report(self, request: dict[str, Any]) -> dict[str, Any]:
        head = {
            "incarnation": self._incarnation,
            "installed_epoch": self._epoch,
            "token": _now_ms(),
            "changes": self._changes,
        }
        if request.get("seen") == self._changes:
            return head
        if not request.get("seen"):
            head["running"] = [_ref_to_json(ref) for ref in self._running]
        return head | {
            "finished": [
                {"ref": _ref_to_json(ref), "outcome": outcome}
                for ref, outcome in self._finished.items()
            ],
        }


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


def _ref_from_json(item: dict[str, Any]) -> AttemptRef:
    return item["job"], item["index"], item["attempt"]


def _ref_to_json(ref: AttemptRef) -> dict[str, Any]:
    return dict(zip(("job", "index", "attempt"), ref, strict=True))
