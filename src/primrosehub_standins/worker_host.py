"""Stand in for a worker host with fencing tokens, leases and delayed orders.

The host reports the end of a task until it is acknowledged. A command is a verb with a
time: ``run 0.3`` succeeds after 0.3 s, ``fail 0.1`` fails after 0.1 s, ``hang`` makes
no progress, and ``last`` runs until it is stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event

from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub_standins.web import (
    CloseConnection,
    Hang,
    StartResponse,
    json_of,
    reply_json,
)

MAX_LEASE_MS = 10_000
MAX_LISTED_ENDS = 500
STOP_S = 0.05
ALL_EPOCHS = range(1_000_000)


@dataclass(frozen=True, slots=True)
class HostEvent:
    """Hold the start or end of an attempt on a host, for the checker.

    ``epoch`` is the highest that the host knew; of a start, that of its order.
    """

    at: float
    host: str
    task: str
    attempt: int
    kind: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Hold the acknowledgement of an end.

    ``lapsed`` tells that the host's lease had lapsed between the end and this.
    """

    at: float
    task: str
    attempt: int
    lapsed: bool


@dataclass(slots=True)
class _Run:
    task: str
    attempt: int
    command: str
    started_at: float
    work_s: float
    verb: str
    checkpoint: str = ""

    def percent(self, now: float) -> int:
        if self.verb in ("hang", "last"):
            return 0 if self.verb == "hang" else 100
        return min(99, int(100 * (now - self.started_at) / max(self.work_s, 1e-3)))


@dataclass(slots=True)
class WorkerHostStandin:
    """Run commands by waiting; ``crash`` begins a new incarnation of the host.

    A connection belongs to the incarnation that it first reached, and ends with it.
    Delayed starts are lost at a crash unless ``delayed_starts_outlast_crash`` is set.
    """

    host: str
    journal: list[HostEvent]
    silent: bool = False  # ignores requests and answers nothing
    reachable_epochs: Sequence[int] = ALL_EPOCHS  # of owners that reach it
    mute: bool = False  # applies requests and answers nothing
    lose_answers: int = 0  # starts and stops to apply without an answer
    start_delay_s: float = 0.0
    starts_to_delay: int = 0
    delayed_starts_outlast_crash: bool = False
    refuse_starts: bool = False  # with 503, as an unhealthy host does
    fail_all: bool = False
    hang_all: bool = False
    draining: bool = False
    stop_s: float = STOP_S
    refusals: list[str] = field(default_factory=list)
    max_listed_ends: int = MAX_LISTED_ENDS
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    requires_ticket: bool = False
    labels: tuple[str, ...] = ("a", "r1")
    register: Callable[[], None] = lambda: None  # begins with each incarnation
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ends: list[list[Any]] = field(default_factory=list)
    _ended_at: dict[int, float] = field(default_factory=dict)
    _lapsed_at: float = float("-inf")
    _last_end_number: int = 0
    _highest_attempt: dict[str, int] = field(default_factory=dict)
    _highest_token: int = 0
    _lease_end_ms: int = 0
    _born_at: float = field(default_factory=steady_s)
    _born_ms: int = field(default_factory=unix_ms)
    _incarnation: int = 0
    _connections: dict[tuple[str, str], int] = field(default_factory=dict)
    _last_hold: dict[str, Any] = field(default_factory=dict)
    _hold_before_crash: dict[str, Any] = field(default_factory=dict)
    _ended: Event = field(default_factory=Event)

    @property
    def born_ms(self) -> int:
        """Return the Unix time of the incarnation's start."""
        return self._born_ms

    @property
    def clock_ms(self) -> int:
        """Return the host's steady clock, which restarts at 0 with each incarnation."""
        return int((steady_s() - self._born_at) * 1000)

    def running(self) -> list[tuple[str, int]]:
        """Return the tasks that run, with their attempts."""
        return [(run.task, run.attempt) for run in self._runs.values()]

    def crash(self) -> None:
        """Lose all state and restart under the same id."""
        for run in list(self._runs.values()):
            self._record_event(run, "lost")
        self._runs.clear()
        self._ends.clear()
        self._ended_at.clear()
        self._highest_attempt.clear()
        self._last_end_number = self._highest_token = self._lease_end_ms = 0
        self._born_at, self._born_ms = steady_s(), max(unix_ms(), self._born_ms + 1)
        self._incarnation += 1
        self._hold_before_crash = self._last_hold
        self._wake_waiters()
        self.register()

    def receive_late_hold(self) -> None:
        """Carry out once more, late, the last hold of the incarnation before."""
        self._apply_hold(self._hold_before_crash)

    def lose_power(self) -> None:
        """Crash, and answer nothing until ``silent`` is reset."""
        self.silent = True
        self.crash()

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one call."""
        body = json_of(environ)
        if self.silent or body.get("fencing-token", 0) not in self.reachable_epochs:
            raise Hang
        connection = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        incarnation = self._incarnation
        if self._connections.setdefault(connection, incarnation) != incarnation:
            del self._connections[connection]
            raise CloseConnection
        if environ.get("HTTP_PRIMROSEHUB_EXPECTED_INSTANCE") != self.host:
            return reply_json(start, {}, "421 Misdirected")
        path = environ["PATH_INFO"].rpartition("/")[2]
        if path == "run-start" and self.refuse_starts:
            self.refusals.append("unhealthy")
            return reply_json(start, {}, "503 Service Unavailable")
        if path == "run-start" and self.starts_to_delay:
            self.starts_to_delay -= 1
            gevent.spawn_later(
                self.start_delay_s,
                self._start_delayed,
                self._incarnation,
                body,
            )
            raise Hang
        actions: dict[str, Callable[[Any], tuple[str, dict[str, Any]]]] = {
            "run-start": self._start,
            "run-stop": self._stop,
            "hold": self._hold,
        }
        status, answer = actions[path](body)
        if self._incarnation != incarnation:
            raise Hang if self.silent else CloseConnection
        if self.mute:
            raise Hang
        if self.lose_answers and path != "hold":
            self.lose_answers -= 1
            raise CloseConnection
        return reply_json(start, answer | {"clock-ms": self.clock_ms}, status)

    def _start_delayed(self, incarnation: int, body: Any) -> None:
        if incarnation == self._incarnation or self.delayed_starts_outlast_crash:
            self._start(body)

    def _start(self, body: Any) -> tuple[str, dict[str, Any]]:
        task, attempt = body["task"], body["attempt"]
        refusal = self._refusal_reason(body)
        if refusal:
            self.refusals.append(refusal)
            return "409 Conflict", {"reason": refusal}
        running = self._runs.get(task)
        if running is not None and running.attempt == attempt:
            return "200 OK", {}
        self._note_lapse()
        verb, _, seconds = body["spec"].partition(" ")
        if self.fail_all or self.hang_all:
            verb = "fail" if self.fail_all else "hang"
        work_s = float(seconds or 0.05)
        run = _Run(task, attempt, body["spec"], steady_s(), work_s, verb)
        self._runs[task] = run
        self._record_event(run, "start")
        self._extend_lease(body["deadline-ms"])
        if verb in ("run", "fail"):
            end_kind = "done" if verb == "run" else "failed"
            gevent.spawn_later(work_s, self._end, run, end_kind, self._incarnation)
        return "200 OK", {}

    def _refusal_reason(self, body: Any) -> str:
        task, attempt = body["task"], body["attempt"]
        if body["fencing-token"] < self._highest_token:
            return "fence"
        self._highest_token = body["fencing-token"]
        if body["deadline-ms"] < self.clock_ms:
            return "late"
        running = self._runs.get(task)
        if running is not None and running.attempt == attempt:
            return ""
        if attempt <= self._highest_attempt.get(task, 0) or running is not None:
            return "old"
        if self.requires_ticket and not body.get("ticket"):
            return "ticket"
        return ""

    def _stop(self, body: Any) -> tuple[str, dict[str, Any]]:
        if body["fencing-token"] < self._highest_token:
            return "409 Conflict", {"reason": "fence"}
        self._highest_token = body["fencing-token"]
        task, attempt = body["task"], body["attempt"]
        self._highest_attempt[task] = max(attempt, self._highest_attempt.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            gevent.spawn_later(
                self.stop_s, self._end, run, "stopped", self._incarnation
            )
        return "200 OK", {}

    def _hold(self, body: Any) -> tuple[str, dict[str, Any]]:
        if body["fencing-token"] < self._highest_token:
            return "409 Conflict", {"reason": "fence"}
        self._last_hold = body
        self._apply_hold(body)
        if not self._ends and body.get("wait-ms"):
            self._ended.wait(body["wait-ms"] / 1000)
        now = steady_s()
        return "200 OK", {
            "born": self._born_ms,
            "state": "draining" if self.draining else "ready",
            "active": [
                [run.task, run.attempt, run.checkpoint, run.percent(now)]
                for run in self._runs.values()
            ],
            "ended": self._ends[: self.max_listed_ends],
        }

    def _apply_hold(self, body: Any) -> None:
        self._highest_token = body["fencing-token"]
        self._note_lapse()
        self._extend_lease(body.get("deadline-ms", 0))
        self._acknowledge(body["ack-cursor"])

    def _note_lapse(self) -> None:
        if 0 < self._lease_end_ms < self.clock_ms:
            self._lapsed_at = self._born_at + self._lease_end_ms / 1000

    def _acknowledge(self, highest_end: int) -> None:
        for number, task, attempt, *_ in self._ends:
            if number <= highest_end:
                lapsed = self._lapsed_at > self._ended_at.pop(number)
                acknowledgement = Acknowledgement(steady_s(), task, attempt, lapsed)
                self.acknowledgements.append(acknowledgement)
        self._ends = [end for end in self._ends if end[0] > highest_end]

    def _extend_lease(self, deadline_ms: int) -> None:
        latest_ms = self.clock_ms + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, latest_ms))
        gevent.spawn_later(0.05, self._check_lease, self._incarnation)

    def _check_lease(self, incarnation: int) -> None:
        while incarnation == self._incarnation and self._runs:
            left_s = (self._lease_end_ms - self.clock_ms) / 1000
            if left_s <= 0:
                for run in list(self._runs.values()):
                    self._end(run, "lapsed", incarnation)
                return
            gevent.sleep(min(left_s + 0.01, 0.5))

    def _end(self, run: _Run, end_kind: str, incarnation: int) -> None:
        if incarnation != self._incarnation or self._runs.get(run.task) is not run:
            return
        del self._runs[run.task]
        self._highest_attempt[run.task] = max(
            run.attempt, self._highest_attempt.get(run.task, 0)
        )
        self._last_end_number += 1
        self._ends.append(
            [self._last_end_number, run.task, run.attempt, end_kind, run.checkpoint]
        )
        self._ended_at[self._last_end_number] = steady_s()
        self._record_event(run, end_kind)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._ended.set()
        self._ended = Event()

    def _record_event(self, run: _Run, kind: str) -> None:
        event = HostEvent(
            steady_s(), self.host, run.task, run.attempt, kind, self._highest_token
        )
        self.journal.append(event)
