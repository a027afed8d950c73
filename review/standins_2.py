"""Stand-ins of the platform and its clients for the scripts of cases 6 to 10.

One process serves the store and the worker hosts on loopback, starts the hub daemons
as processes of their own with the command of the deploy file, and acts as the clients.
Import this module first: it patches the standard library for gevent.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import bisect  # noqa: E402
import http.client  # noqa: E402
import itertools  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import socket  # noqa: E402
import subprocess  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from base64 import b64decode, b64encode  # noqa: E402
from collections import deque  # noqa: E402
from collections.abc import Callable  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402
from urllib.parse import parse_qs  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.lock import BoundedSemaphore  # noqa: E402
from gevent.pywsgi import WSGIHandler, WSGIServer  # noqa: E402

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"
HOST_NAME = "jobs.example"
SERVICE = "loftdesk"

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script

# Figures of the small sites, from their pages.
MAX_ROW_BYTES = 65_536
MAX_TX_ENTRIES = 100
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
TX_LATENCY_S = 0.006
READ_LATENCY_S = 0.004
WRITES_PER_S = 600
READS_PER_S = 2000
HEARTBEAT_S = 1.5
REGISTER_LAG_S = 0.5  # from the start of a worker host to its entry in the store
MAX_LEASE_MS = 10_000
STOP_TIMEOUT_S = 0.4
STOP_S = 0.05
GANG_TIMEOUT_S = 3.0
MAX_LISTED_ENDS = 500
CONTACT_WINDOW_S = 3.0
VISIBLE_S = 3.0
FINISH_S = 14.0
RECOVERY_TIME_S = 12.0
MAX_RUN_S = 115.0  # of a script, which has 120 s
HOST_ROOM = {"cpu": 64_000, "mem-mb": 262_144, "gpu": 0}
BOUNDS = {
    "host_drain_ms": 2000,
    "grace_s": 6,
    "max_lease_ms": MAX_LEASE_MS,
    "stop_timeout_ms": int(STOP_TIMEOUT_S * 1000),
}


class Record:
    """Write one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began_at

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        parts = [f"{name}={value}" for name, value in fields.items()]
        self._file.write(f"{self.now:9.3f} {event} {' '.join(parts)}\n")

    def say(self, text: str) -> None:
        """Write a line of the summary and print it."""
        self._file.write(f"{self.now:9.3f} # {text}\n")
        print(f"{self.now:8.2f} s  {text}", flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class _Handler(WSGIHandler):
    """Serve a connection without the delay of Nagle's algorithm."""

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Close the connection without an answer if the app asks for that."""
        if kind is NoAnswer:
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)


class NoAnswer(Exception):
    """Close the connection without an answer."""


Reply = tuple[int, dict[str, Any]]
_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}
_PHRASES |= {410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request"}
_PHRASES |= {429: "Too Many Requests", 503: "Service Unavailable"}


def serve(port: int, answer: Callable[[dict[str, Any], bytes], Reply]) -> WSGIServer:
    """Start an HTTP server whose function returns the status and the JSON body."""

    def app(environ: dict[str, Any], start: Any) -> list[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, document = answer(environ, body)
        start(
            f"{status} {_PHRASES.get(status, 'Status')}",
            [("Content-Type", "application/json")],
        )
        return [orjson.dumps(document)]

    server = WSGIServer((IP, port), app, handler_class=_Handler, log=None)
    server.start()
    return server


@dataclass(slots=True)
class _Row:
    value: str
    version: int


class Store:
    """Keep rows, apply transactions and serve changes, as PROTOCOL.md describes."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], dict[str, _Row]] = {}
        self._keys: dict[tuple[str, str], list[str]] = {}
        self._locks: dict[str, BoundedSemaphore] = {}
        self._history: list[tuple[int, str, str, str, str | None]] = []
        self._calls: dict[str, deque[float]] = {"read": deque(), "write": deque()}
        self._changed = Event()
        self.version = 0
        self.refused_rows: dict[str, int] = {}
        self.server = serve(_free_port(), self._answer)

    @property
    def address(self) -> str:
        """Return the store's address."""
        return f"{IP}:{self.server.server_port}"

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a worker host does."""
        self.fill(table, "", {key: orjson.dumps(value)})

    def fill(self, table: str, part: str, values: dict[str, bytes]) -> None:
        """Write rows in one transaction."""
        encoded = {key: b64encode(value).decode() for key, value in values.items()}
        self._apply([(table, part, key, value) for key, value in encoded.items()])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply([(table, "", key, None)])

    def get(self, table: str, part: str, key: str) -> bytes | None:
        """Return a row's value."""
        row = self._rows.get((table, part), {}).get(key)
        return b64decode(row.value) if row else None

    def count(self, table: str) -> int:
        """Return how many rows a table holds."""
        return sum(len(rows) for (name, _), rows in self._rows.items() if name == table)

    def _apply(self, changes: list[tuple[str, str, str, str | None]]) -> None:
        self.version += 1
        for table, part, key, value in changes:
            rows = self._rows.setdefault((table, part), {})
            keys = self._keys.setdefault((table, part), [])
            if value is None:
                if rows.pop(key, None) is None:
                    continue
                keys.remove(key)
            else:
                if key not in rows:
                    bisect.insort(keys, key)
                rows[key] = _Row(value, self.version)
            self._history.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = Event()

    def _over_rate(self, kind: str, limit: int) -> bool:
        calls, now = self._calls[kind], time.monotonic()
        while calls and calls[0] < now - 1.0:
            calls.popleft()
        calls.append(now)
        return len(calls) > limit

    def _answer(self, environ: dict[str, Any], body: bytes) -> Reply:
        query = {
            name: values[0]
            for name, values in parse_qs(
                environ.get("QUERY_STRING", ""), keep_blank_values=True
            ).items()
        }
        path = environ["PATH_INFO"]
        if path == "/primrosehub/rows-tx":
            if self._over_rate("write", WRITES_PER_S):
                return 429, {}
            return self._transact(orjson.loads(body))
        if self._over_rate("read", READS_PER_S):
            return 429, {}
        gevent.sleep(READ_LATENCY_S)
        match path:
            case "/primrosehub/rows-get":
                return self._read(query)
            case "/primrosehub/rows-parts":
                parts = sorted(
                    part
                    for (table, part), rows in self._rows.items()
                    if table == query["table-name"] and rows
                )
                parts = [part for part in parts if part > query.get("after", "")]
                if "after" not in query and self._rows.get((query["table-name"], "")):
                    parts.insert(0, "")
                more = len(parts) > 1000
                return 200, self._tail({"parts": parts[:1000], "has-more": more})
            case "/primrosehub/rows-feed":
                return self._feed(query)
        return 404, {}

    def _tail(self, document: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return document | {"row-version": self.version, "current-time-ms": now_ms}

    def _transact(self, call: dict[str, Any]) -> Reply:
        expects, writes = call.get("expected-revision", []), call.get("write", [])
        removes = call.get("remove", [])
        entries = [*expects, *writes, *removes]
        parts = {entry.get("part", "") for entry in entries}
        if len(entries) > MAX_TX_ENTRIES or len(parts) != 1:
            return 400, {"error": "entries"}
        for write in writes:
            if write["table-name"] in ("op", "servers"):
                return 403, {"error": "table"}
            size = len(b64decode(write["value"]))
            if size > MAX_ROW_BYTES:
                name = f"{write['table-name']}/{write['key']}"
                self.refused_rows[name] = self.refused_rows.get(name, 0) + 1
                return 400, {"error": f"{name} has {size} bytes"}
        lock = self._locks.setdefault(parts.pop(), BoundedSemaphore(1))
        with lock:
            gevent.sleep(TX_LATENCY_S)
            return self._commit(expects, writes, removes)

    def _commit(self, expects: Any, writes: Any, removes: Any) -> Reply:
        found = []
        conflict = False
        for expect in expects:
            table, part, key = _names(expect)
            row = self._rows.get((table, part), {}).get(key)
            conflict |= (row.version if row else 0) != expect["row-version"]
            if row is not None:
                found.append(_row_document(table, part, key, row.version, row.value))
        if conflict:
            return 412, self._tail({"rows": found})
        self._apply(
            [(*_names(write), write["value"]) for write in writes]
            + [(*_names(remove), None) for remove in removes]
        )
        return 200, self._tail({})

    def _read(self, query: dict[str, str]) -> Reply:
        table, part = query["table-name"], query.get("part", "")
        keys = self._keys.get((table, part), [])
        rows = self._rows.get((table, part), {})
        first = bisect.bisect_left(keys, query.get("from", ""))
        last = bisect.bisect_left(keys, query["target"]) if "target" in query else None
        wanted = keys[first:last]
        limit = min(MAX_PAGE_ROWS, int(query.get("result-limit", MAX_PAGE_ROWS)))
        page, size = [], 0
        for key in wanted[:limit]:
            row = rows[key]
            size += len(row.value)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(_row_document(table, part, key, row.version, row.value))
        return 200, self._tail({"rows": page, "has-more": len(page) < len(wanted)})

    def _feed(self, query: dict[str, str]) -> Reply:
        table, after = query["table-name"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            changed, version = self._changed, self.version
            first = bisect.bisect_right(self._history, after, key=lambda one: one[0])
            rows = []
            for at, name, part, key, value in self._history[first:]:
                if name == table:
                    rows.append(_row_document(name, part, key, at, value))
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._tail({"rows": rows}) | {"row-version": version}
            changed.wait(left_s)


def _names(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table-name"], entry.get("part", ""), entry["key"]


def _row_document(
    table: str, part: str, key: str, version: int, value: str | None
) -> dict[str, Any]:
    document = {"table-name": table, "part": part, "key": key, "row-version": version}
    if value is None:
        return document | {"deleted": True}
    return document | {"value": value}


@dataclass(slots=True, eq=False)
class _Run:
    task: str
    attempt: int
    verb: str
    work_s: float
    started_at: float
    cpu: int


@dataclass(frozen=True, slots=True)
class Started:
    """Hold one start of a task on a worker host."""

    at: float
    host: str
    kind: str
    task: str
    attempt: int


@dataclass(slots=True)
class WorkerHost:
    """Run tasks as an executor does; ``crash`` begins another life of it.

    ``spec`` is a verb with a number of seconds: ``run`` ends done after them, ``fail``
    ends failed, ``last`` works until it is stopped.
    """

    name: str
    kind: str
    rack: str
    store: Store
    record: Record
    starts: list[Started] = field(default_factory=list)
    done: dict[str, float] = field(default_factory=dict)
    refuse_starts: bool = False
    up: bool = True
    listed: int = 0
    noted: int = 0
    _born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    _born_at: float = field(default_factory=time.monotonic)
    _life: int = 0
    _token: int = 0
    _lease_until_ms: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ends: list[list[Any]] = field(default_factory=list)
    _last_end: int = 0
    _highest: dict[str, int] = field(default_factory=dict)
    _sequence: int = 0
    _ended: Event = field(default_factory=Event)
    _connections: dict[tuple[str, str], int] = field(default_factory=dict)
    server: Any = None

    def begin(self) -> None:
        """Listen, register and send heartbeats."""
        self.server = serve(_free_port(), self._answer)
        self._register()
        gevent.spawn(self._beat)
        gevent.spawn(self._watch_lease)

    @property
    def clock_ms(self) -> int:
        """Return this life's steady clock."""
        return int((time.monotonic() - self._born_at) * 1000)

    @property
    def running(self) -> list[_Run]:
        """Return what runs."""
        return list(self._runs.values())

    def crash(self, down_s: float, kind: str) -> None:
        """Lose everything, and start again after a time as another kind."""
        self.record.note("host_crashes", host=self.name, kind=self.kind)
        self.up = False
        self._life += 1
        self._runs.clear()
        self._ends.clear()
        self._highest.clear()
        self._wake()
        gevent.sleep(down_s)
        self._last_end = self._token = self._lease_until_ms = self._sequence = 0
        self._born_ms = max(int(time.time() * 1000), self._born_ms + 1)
        self._born_at = time.monotonic()
        self.kind = kind
        self.up = True
        self.record.note("host_is_back", host=self.name, kind=kind, born=self._born_ms)
        gevent.sleep(REGISTER_LAG_S)
        if self.up:
            self._register()

    def vanish(self) -> None:
        """Stop for good; the platform drops the entry after three heartbeats."""
        self.record.note("host_is_lost", host=self.name)
        self.up = False
        self._life += 1
        self._runs.clear()
        self._wake()
        gevent.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers", self.name)

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            if self.up and time.monotonic() - self._born_at > REGISTER_LAG_S:
                self._register()

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": SERVICE,
            "address": f"{IP}:{self.server.server_port}",
            "zone": "galway-quay",
            "version": "1",
            "capacity": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
            "free-capacity": HOST_ROOM,
            "labels": [self.kind, self.rack],
        }
        self.store.put("servers", self.name, entry)

    def _answer(self, environ: dict[str, Any], body: bytes) -> Reply:
        connection = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        life = self._life
        if not self.up or self._connections.setdefault(connection, life) != life:
            raise NoAnswer
        if environ.get("HTTP_PRIMROSEHUB_EXPECTED_INSTANCE", self.name) != self.name:
            return 421, {}
        call = orjson.loads(body)
        if call.get("fencing-token", 0) < self._token:
            return self._reply(409, {"reason": "fence"})
        match environ["PATH_INFO"].rpartition("/")[2]:
            case "hold":
                reply = self._hold(call)
            case "run-start":
                reply = self._start(call)
            case "run-stop":
                reply = self._stop(call)
            case _:
                return 404, {}
        if life != self._life:
            raise NoAnswer
        return reply

    def _reply(self, status: int, document: dict[str, Any]) -> Reply:
        return status, document | {"clock-ms": self.clock_ms}

    def _note_call(self, call: dict[str, Any]) -> None:
        self._token = max(self._token, call.get("fencing-token", 0))
        longest = self.clock_ms + MAX_LEASE_MS
        until = min(call.get("deadline-ms", 0), longest)
        self._lease_until_ms = max(self._lease_until_ms, until)

    def _hold(self, call: dict[str, Any]) -> Reply:
        self._note_call(call)
        cursor = call.get("ack-cursor", 0)
        while self._ends and self._ends[0][0] <= cursor:
            self._ends.pop(0)
            self.noted += 1
        if not self._ends and call.get("wait-ms"):
            self._ended.wait(min(2000, call["wait-ms"]) / 1000)
        now = time.monotonic()
        active = [
            [run.task, run.attempt, "", self._percent(run, now), run.cpu]
            for run in self._runs.values()
        ]
        document = {
            "born": self._born_ms,
            "state": "ready",
            "active": active,
            "ended": self._ends[:MAX_LISTED_ENDS],
        }
        return self._reply(200, document)

    @staticmethod
    def _percent(run: _Run, now: float) -> int:
        if run.verb == "last":
            return 100
        return min(99, int(100 * (now - run.started_at) / max(run.work_s, 1e-3)))

    def _start(self, call: dict[str, Any]) -> Reply:
        if self.refuse_starts:
            self.record.note("start_refused", host=self.name, task=call["task"])
            return self._reply(503, {})
        task, attempt = call["task"], call["attempt"]
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            return self._reply(200, {})
        if call["deadline-ms"] < self.clock_ms:
            return self._reply(409, {"reason": "late"})
        self._note_call(call)
        if run is not None or attempt <= self._highest.get(task, 0):
            return self._reply(409, {"reason": "old"})
        verb, seconds, *_ = [*call["spec"].split(" "), "1"]
        now = time.monotonic()
        run = _Run(task, attempt, verb, float(seconds), now, 0)
        self._runs[task] = run
        started = Started(now, self.name, self.kind, task, attempt)
        self.starts.append(started)
        self.record.note(
            "start", host=self.name, kind=self.kind, task=task, attempt=attempt
        )
        if verb in ("run", "fail"):
            how = "done" if verb == "run" else "failed"
            gevent.spawn_later(run.work_s, self._end, run, how)
        return self._reply(200, {})

    def _stop(self, call: dict[str, Any]) -> Reply:
        self._note_call(call)
        task, attempt = call["task"], call["attempt"]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            gevent.spawn_later(STOP_S, self._end, run, "stopped")
        return self._reply(200, {})

    def _end(self, run: _Run, how: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        del self._runs[run.task]
        self._highest[run.task] = max(run.attempt, self._highest.get(run.task, 0))
        self._last_end += 1
        self.listed += 1
        self._ends.append([self._last_end, run.task, run.attempt, how, ""])
        if how == "done":
            self.done.setdefault(run.task, time.monotonic())
        self.record.note(
            "end", host=self.name, task=run.task, attempt=run.attempt, how=how
        )
        self._wake()

    def _wake(self) -> None:
        self._ended.set()
        self._ended = Event()

    def _watch_lease(self) -> None:
        while True:
            gevent.sleep(0.1)
            if self._runs and self.clock_ms > self._lease_until_ms:
                for run in list(self._runs.values()):
                    self._end(run, "lapsed")


@dataclass(slots=True)
class SentJob:
    """Hold a one-step job that a client sent; ``accepted_at`` is None before that."""

    job: str
    prefix: str
    key: str
    tenant: str
    tasks: int
    cpu: int
    lasting: bool
    accepted_at: float | None = None


@dataclass(slots=True)
class Daemon:
    """Hold one hub daemon, a process of its own."""

    number: int
    settings: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """Return the daemon's name."""
        return self.settings["name"]

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def log_path(self) -> Path:
        """Return the file that holds what the daemon writes."""
        return self.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PRIMROSEHUB_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "target/app/hub_main.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def resident_mb(self) -> float:
        """Return the resident memory of the process."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0.0
        line = next((one for one in text.splitlines() if one.startswith("VmRSS")), "")
        return int(line.split()[1]) / 1024 if line else 0.0


class Cell:
    """Run the platform, the worker hosts and the daemons of a small deployment."""

    def __init__(self, case: Path, hosts: int, kinds: str = "ab") -> None:
        self.record = Record(case / "record.txt")
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.daemons: list[Daemon] = []
        self.hosts: list[WorkerHost] = []
        self.jobs: dict[str, SentJob] = {}
        self.max_cpu: dict[str, int] = {}
        self._names = itertools.count(1)
        self._version = 0
        for number in range(hosts):
            name = f"e-{os.getpid():x}-{number}"
            kind, rack = kinds[number % len(kinds)], f"r{number // 6 + 1}"
            host = WorkerHost(name, kind, rack, self.store, self.record)
            host.begin()
            self.hosts.append(host)

    def configure(self, routes: list[dict[str, Any]], tenants: list[Any]) -> None:
        """Write the next version of the configuration."""
        self._version += 7
        self.max_cpu = {one["name"]: one["max-count"]["cpu"] for one in tenants}
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": SERVICE, "enforce-capacity": False}],
            "tenants": tenants,
            "limits": {"max-body-bytes": 262_144},
        }
        self.store.put("op", "config", config)
        self.record.note("configured", version=self._version)

    def start_daemons(self, count: int) -> None:
        """Start daemons, each on a new machine, and wait until they are ready."""
        first = len(self.daemons)
        peers = [f"{IP}:{_free_port()}" for _ in range(count)]
        for number in range(first, first + count):
            settings = {
                "name": f"hub-{number}",
                "zone": f"zone-{number % 4}",
                "region": "west-coast",
                "ip": IP,
                "callers": f"{IP}:{_free_port()}",
                "ready": f"{IP}:{_free_port()}",
                "peer": peers[number - first],
                "ops_ports": [_free_port()],
                "seed_peers": peers[:3],
                "store": self.store.address,
                "advice": None,
                "cpu_share": 0.537,
                "cores": 2,
                "bounds": BOUNDS,
            }
            daemon = Daemon(number, settings, self.folder)
            self.daemons.append(daemon)
            daemon.start()
        self.wait_ready(self.daemons[first:], 20.0)

    def wait_ready(self, daemons: list[Daemon], limit_s: float) -> None:
        """Wait until the daemons answer the platform's readiness check."""
        end = time.monotonic() + limit_s
        for daemon in daemons:
            while not self.is_ready(daemon):
                if time.monotonic() > end:
                    raise NotReady(f"{daemon.name} was not ready in time")
                gevent.sleep(0.1)

    def is_ready(self, daemon: Daemon) -> bool:
        """Return whether the daemon is ready."""
        return (
            _exchange(daemon.settings["ready"], "GET", "/primrosehub/readyz")[0] == 200
        )

    def owner(self) -> Daemon | None:
        """Return the daemon that the store names as the owner."""
        value = self.store.get("owner", "s", "cell")
        name = orjson.loads(value).get("name", "") if value else ""
        return next((one for one in self.daemons if one.name == name), None)

    def new_id(self) -> str:
        """Return the id of a new job."""
        return f"{os.urandom(6).hex()}{next(self._names):04x}"

    def call(
        self, daemon: Daemon, method: str, path: str, key: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Send one client call and return the status, 0 if there was no answer."""
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {key}",
            "Primrosehub-Deadline-Ms": "3000",
        }
        payload = orjson.dumps(body) if body is not None else None
        if payload is not None:
            headers["Content-Type"] = "application/json"
        self.record.note("sent", method=method, path=path, to=daemon.name)
        status, answer = _exchange(
            daemon.settings["callers"], method, path, payload, headers
        )
        shown = answer.decode(errors="replace")[:120]
        self.record.note(
            "answered",
            method=method,
            path=path,
            by=daemon.name,
            status=status,
            body=shown,
        )
        try:
            return status, orjson.loads(answer) if answer else {}
        except orjson.JSONDecodeError:
            return status, {}

    def submit(
        self, queue: str, tenant: str, step: dict[str, Any], spec: str, **more: Any
    ) -> SentJob:
        """Submit a job of one step as a client with four retries."""
        sent = SentJob(
            job=self.new_id(),
            prefix=f"/{queue}/",
            key=f"key-of-{tenant}",
            tenant=tenant,
            tasks=step["count"],
            cpu=step["cpu"],
            lasting=step.get("long-running", False),
        )
        self.jobs[sent.job] = sent
        body = {"spec": spec, "phases": [step]} | more
        for attempt in range(5):
            alive = [one for one in self.daemons if one.running]
            if alive:
                daemon = alive[(len(self.jobs) + attempt) % len(alive)]
                path = sent.prefix + sent.job
                status, _ = self.call(daemon, "POST", path, sent.key, body)
                if 200 <= status < 300:
                    sent.accepted_at = self.record.now
                    break
            gevent.sleep(0.3)
        return sent

    def is_done(self, sent: SentJob) -> bool:
        """Return whether all tasks of a job have ended done on worker hosts."""
        names = (f"{sent.job}.0.0.{index}" for index in range(sent.tasks))
        return all(any(name in host.done for host in self.hosts) for name in names)

    def has_begun(self, sent: SentJob) -> bool:
        """Return whether a task of the job has started."""
        return bool(self.starts_of(sent.job))

    def running_cpu(self) -> tuple[dict[str, int], dict[str, int], dict[str, int]]:
        """Return the cpu in use by worker host, by tenant and by job."""
        by_host = dict.fromkeys((host.name for host in self.hosts), 0)
        by_tenant: dict[str, int] = {}
        by_job: dict[str, int] = {}
        for host in self.hosts:
            for run in host.running:
                sent = self.jobs[run.task.split(".")[0]]
                by_host[host.name] += sent.cpu
                by_tenant[sent.tenant] = by_tenant.get(sent.tenant, 0) + sent.cpu
                by_job[sent.job] = by_job.get(sent.job, 0) + sent.cpu
        return by_host, by_tenant, by_job

    def find_lost(self, for_s: float = 3.0) -> list[SentJob]:
        """Return accepted jobs with nothing running for a time though there is room.

        This is the rule LOST as it stands for the end of a day: there is capacity for
        the job twice over, its tenant has under half of its limit and under half of
        the service's capacity is in use, all the while.
        """
        stuck = [
            sent
            for sent in self.jobs.values()
            if sent.accepted_at is not None and not sent.lasting
        ]
        end = time.monotonic() + for_s
        while stuck and time.monotonic() < end:
            stuck = [sent for sent in stuck if self._is_stuck(sent)]
            gevent.sleep(0.05)
        return stuck

    def _is_stuck(self, sent: SentJob) -> bool:
        by_host, by_tenant, by_job = self.running_cpu()
        room = HOST_ROOM["cpu"]
        places = sum((room - used) // sent.cpu for used in by_host.values())
        limit = self.max_cpu.get(sent.tenant, 0)
        return (
            not by_job.get(sent.job)
            and places >= 2 * sent.tasks
            and (not limit or 2 * by_tenant.get(sent.tenant, 0) < limit)
            and 2 * sum(by_host.values()) < room * len(self.hosts)
            and not self.is_done(sent)
        )

    def ask(self, sent: SentJob) -> str:
        """Return a job's state as the first daemon that answers shows it."""
        status = 0
        for daemon in self.daemons:
            if daemon.running:
                status, answer = self.call(
                    daemon, "GET", sent.prefix + sent.job, sent.key
                )
                if status == 200:
                    return answer.get("state", "")
        return str(status)

    def starts_of(self, job: str) -> list[Started]:
        """Return the starts of a job's tasks."""
        return [
            one
            for host in self.hosts
            for one in host.starts
            if one.task.startswith(f"{job}.")
        ]

    def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.kill()
        self.store.server.stop(timeout=0)
        for host in self.hosts:
            host.server.stop(timeout=0)
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)
        self.record.close()


class NotReady(Exception):
    """Report that the case could not run."""


def route(name: str, priority: int = 1, attempts: int = 4) -> dict[str, Any]:
    """Return a queue with the figures of a small site."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "service": SERVICE,
        "priority": priority,
        "max-attempts": attempts,
        "slack-factor": 2.2,
        "target-runtime-ms": 1000,
        "timeout-ms": 3000,
    }


def tenant(name: str, weight: float, cpu: int = 0) -> dict[str, Any]:
    """Return a tenant; ``cpu`` 0 means no limit."""
    return {
        "name": name,
        "api-keys": [f"key-of-{name}"],
        "weight": weight,
        "max-count": {"cpu": cpu, "mem-mb": 0, "gpu": 0},
    }


def run_case(case: Path, play: Callable[[Path, bool], int]) -> int:
    """Play a case and return the script's exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # So that the daemons are ended too if the script is stopped.
    stopped = gevent.getcurrent()
    gevent.signal_handler(signal.SIGTERM, stopped.throw, NotReady("it was stopped"))
    try:
        with gevent.Timeout(MAX_RUN_S, NotReady("it took too long")):
            return play(case, trouble)
    except NotReady as error:
        print(f"the case could not run: {error}")
        return NOT_RUN


# Below the ephemeral range, from which outgoing connections take their ports.
# Each script begins at another one, and a port is not used a second time.
_FIRST_PORT, _PORT_COUNT = 20_000, 10_000
_PORTS = (
    _FIRST_PORT + number % _PORT_COUNT
    for number in itertools.count(random.randrange(_PORT_COUNT))
)


def _free_port() -> int:
    for port in _PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((IP, port))
            except OSError:
                continue
        return port
    raise NotReady("no port is free")


def _exchange(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=3.0)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()
