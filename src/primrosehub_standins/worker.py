"""A stand-in for a worker host: it runs tasks under a lease and an epoch."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.event import Event

from primrosehub_standins.journal import Journal
from primrosehub_standins.web import CloseConnection, Hang, Start, json_of, reply_json

Ref = tuple[str, int, int]


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
        self._start_over()
        gevent.spawn(self._watch_lease)

    def app(self, environ: dict[str, Any], start: Start) -> list[bytes]:
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
        """Obey one message of an owner and report."""
        if request["epoch"] < self._epoch:
            return self._report(request)
        self._epoch = request["epoch"]
        token = request.get("token")
        now_ms = _now_ms()
        lease_ms = int(request["lease_s"] * 1000)
        fresh = (
            token is not None and self._born_ms <= token and now_ms < token + lease_ms
        )
        if fresh:
            self._lease_until_ms = max(self._lease_until_ms, token + lease_ms)
        for item in request.get("starts", ()):
            self._start(_ref(item["ref"]), item, fresh)
        for item in request.get("stops", ()):
            self._stop(_ref(item))
        for item in request.get("acks", ()):
            if self._finished.pop(_ref(item), None):
                self._changes += 1
        return self._report(request)

    def _wait_for_change(self, query: str) -> dict[str, int]:
        """Return the number of ends so far, once it differs from the caller's."""
        asked = parse_qs(query)
        if self._ends == int(asked["after"][0]):
            self._ended.wait(float(asked["wait_s"][0]))
        return {"ends": self._ends}

    def _start_over(self) -> None:
        self._incarnation = uuid.uuid4().hex[:8]
        self._born_ms = _now_ms()
        self._epoch = 0
        self._lease_until_ms = 0
        self._running: dict[Ref, _Running] = {}
        self._finished: dict[Ref, str] = {}
        self._seen: set[Ref] = set()
        self._changes = self._born_ms

    def _restart(self) -> None:
        for ref in list(self._running):
            self._end(ref, "lost")
        gevent.sleep(0.002)
        self._start_over()

    def _start(self, ref: Ref, item: dict[str, Any], fresh: bool) -> None:
        if ref in self._seen:
            return
        self._seen.add(ref)
        size = item["size"]
        known = item["host_incarnation"] == self._incarnation
        if not (fresh and known and self._fits(size)):
            self._finished[ref] = "refused"
            self._note_end()
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

    def _stop(self, ref: Ref) -> None:
        if ref not in self._seen:
            self._seen.add(ref)
            self._finished[ref] = "stopped"
            self._changes += 1
        elif ref in self._running:
            self._end(ref, "stopped")

    def _end(self, ref: Ref, outcome: str) -> None:
        if not self._lease_holds() and outcome in ("succeeded", "failed"):
            outcome = "lapsed"
        running = self._running.pop(ref, None)
        if running is None:
            return
        if running.timer is not None and running.timer is not gevent.getcurrent():
            running.timer.kill(block=False)
        self._finished[ref] = outcome
        self._journal.write("end", host=self._name, ref=ref, outcome=outcome)
        self._note_end()

    def _note_end(self) -> None:
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
            head["running"] = [_ref_json(ref) for ref in self._running]
        return head | {
            "finished": [
                {"ref": _ref_json(ref), "outcome": outcome}
                for ref, outcome in self._finished.items()
            ],
        }


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


def _ref(item: dict[str, Any]) -> Ref:
    return item["job"], item["index"], item["attempt"]


def _ref_json(ref: Ref) -> dict[str, Any]:
    return dict(zip(("job", "index", "attempt"), ref, strict=True))
