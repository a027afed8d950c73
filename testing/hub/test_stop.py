"""Planned stops of a daemon process while callers send on open connections."""

import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import gevent
import pytest

import primrosehub
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import HOST_NAME, PREFIX, HubCell
from primrosehub_standins.row_store import EndpointState, StoreEndpoint
from testing.builders.requests import a_state_query, a_submission

# Callers take a connection that ends sooner after a request for one that was idle.
LOSS_SLACK_S = 0.2
# The platform kills a daemon that has not exited then.
GRACE_S = 6.0
REQUEST = f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode()
# The process runs for 30 ms, then not for 120 ms, as on a processor with a quota.
RUN_S, PAUSE_S = 0.03, 0.12


class KeptConnection:
    """A caller's connection that stays open between requests."""

    def __init__(self, address):
        self._sock = _connect(address)
        self._begun = False
        self.answered = False
        assert self._exchange(REQUEST) is not None

    def close(self):
        self._sock.close()

    def begin(self, part):
        """Send the first part of a request."""
        self._begun = True
        self._sock.sendall(part)

    def send_at(self, moment, data=REQUEST):
        """Send at a moment unless the connection has ended; return what was lost."""
        try:
            with gevent.Timeout(max(0.0, moment - time.monotonic())):
                early = self._sock.recv(1)
            assert self._begun or early == b""
            return None
        except gevent.Timeout:
            pass
        except OSError:
            return None
        sent_at = time.monotonic()
        try:
            answer = self._exchange(data)
        except OSError:
            answer = None
        waited_s = time.monotonic() - sent_at
        self.answered = answer is not None
        if answer is None and waited_s > LOSS_SLACK_S:
            return f"no answer after {waited_s:.3f} s"
        return None

    def _exchange(self, request):
        """Return the response to a request, or None if the connection ends first."""
        self._sock.sendall(request)
        data = b""
        while not data.endswith(b"}"):
            part = self._sock.recv(4096)
            if not part:
                return None
            data += part
        return data


@dataclass(slots=True)
class HubProcess:
    """A daemon in a process of its own."""

    process: subprocess.Popen
    address: str
    store: StoreEndpoint

    def terminate(self):
        """Send SIGTERM; return the moment."""
        stopped_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        return stopped_at

    def exits_by(self, moment):
        """Return whether the process has exited by a moment, waiting for it."""
        try:
            self.process.wait(max(0.0, moment - time.monotonic()))
        except subprocess.TimeoutExpired:
            return False
        return True


@pytest.fixture
def start_process(tmp_path):
    """Start a daemon process beside the daemons of a cell."""
    with ExitStack() as stack:

        def start(hubs=1, grace_s=GRACE_S):
            cell = stack.enter_context(HubCell(hubs=hubs))
            if hubs:
                cell.leader()
            store = StoreEndpoint()
            settings = cell.new_settings(7, store)
            bounds = settings.bounds.model_copy(update={"grace_s": grace_s})
            settings = settings.model_copy(update={"bounds": bounds})
            path = tmp_path / "settings.json"
            path.write_text(settings.model_dump_json())
            process = subprocess.Popen(
                [sys.executable, "-m", "primrosehub.binaries.hub", "--settings", path],
                stdout=subprocess.DEVNULL,
            )
            stack.callback(process.wait)
            stack.callback(process.kill)
            cell.until(lambda: _is_serving(settings.callers), "no answer", 20.0)
            return HubProcess(process, settings.callers, store)

        yield start


@pytest.fixture
def hub_process(start_process):
    return start_process()


def _connect(address):
    ip, _, port = address.rpartition(":")
    return socket.create_connection((ip, int(port)), timeout=10)


def _is_serving(address):
    try:
        connection = KeptConnection(address)
    except (OSError, AssertionError):
        return False
    connection.close()
    return True


def _stutter(process, run_s=RUN_S, pause_s=PAUSE_S):
    while process.poll() is None:
        gevent.sleep(run_s)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(pause_s)
        process.send_signal(signal.SIGCONT)


def _pause(process, moment, pause_s):
    gevent.sleep(moment - time.monotonic())
    process.send_signal(signal.SIGSTOP)
    gevent.sleep(pause_s)
    process.send_signal(signal.SIGCONT)


def _send_repeatedly(address, end):
    while time.monotonic() < end and _is_serving(address):
        gevent.sleep(0.1)


@pytest.mark.parametrize(
    ("first_s", "last_s", "count"),
    [(2.0, 5.9, 120), (2.28, 2.32, 4)],
    ids=["steady", "at the end"],
)
def test_a_stop_loses_no_request_of_a_kept_connection(
    hub_process, first_s, last_s, count
):
    process, address = hub_process.process, hub_process.address
    kept = [KeptConnection(address) for _ in range(count)]
    stutter = gevent.spawn(_stutter, process)
    stopped_at = hub_process.terminate()
    step_s = (last_s - first_s) / count
    callers = [
        gevent.spawn(connection.send_at, stopped_at + first_s + step_s * number)
        for number, connection in enumerate(kept)
    ]
    gevent.joinall(callers, raise_error=True)
    stutter.join(10)
    assert [caller.value for caller in callers if caller.value] == []
    assert process.poll() == 0


def test_a_submission_that_waits_for_the_store_is_answered_before_the_grace_ends(
    start_hubs,
):
    cell = start_hubs(hubs=1)
    hub = cell.leader()
    front = hub.kernel.find(cluster.CALLER_FRONT)
    stopped_at = time.monotonic()
    stop = gevent.spawn(hub.stop)
    gevent.sleep(2.0)
    hub.store_endpoint.state = EndpointState.SILENT
    body = b'{"spec":"run 0.1","phases":[{"count":1}]}'
    wait = {"Primrosehub-Deadline-Ms": "20000"}
    path = PREFIX + cell.new_id()
    request = gevent.spawn(cell.call, hub, "POST", path, body, **wait)
    cell.until(lambda: front.in_flight == 1, "the request was not read")
    stop.join()
    assert time.monotonic() - stopped_at < GRACE_S
    request.join()
    assert request.value.status == 504
    assert dict(request.value.headers)["Retry-After"] == "1"


def test_a_request_sent_after_the_limit_of_the_drain_is_not_lost(hub_process):
    kept = [KeptConnection(hub_process.address) for _ in range(60)]
    gevent.spawn(_stutter, hub_process.process)
    stopped_at = hub_process.terminate()
    gevent.spawn(_send_repeatedly, hub_process.address, stopped_at + GRACE_S)
    callers = [
        gevent.spawn(connection.send_at, stopped_at + 3.9 + 0.025 * number)
        for number, connection in enumerate(kept)
    ]
    gevent.joinall(callers, raise_error=True)
    assert any(connection.answered for connection in kept)
    assert [caller.value for caller in callers if caller.value] == []


def test_a_request_completed_after_the_limit_of_the_drain_is_not_lost(hub_process):
    begun = [KeptConnection(hub_process.address) for _ in range(40)]
    for connection in begun:
        connection.begin(REQUEST[:-2])
    gevent.spawn(_stutter, hub_process.process)
    stopped_at = hub_process.terminate()
    callers = [
        gevent.spawn(connection.send_at, stopped_at + 4.4 + 0.02 * number, REQUEST[-2:])
        for number, connection in enumerate(begun)
    ]
    gevent.joinall(callers, raise_error=True)
    assert any(connection.answered for connection in begun)
    assert [caller.value for caller in callers if caller.value] == []


def test_a_request_completed_during_a_pause_at_the_limit_is_not_lost(hub_process):
    begun = [KeptConnection(hub_process.address) for _ in range(40)]
    for connection in begun:
        connection.begin(REQUEST[:-2])
    stopped_at = hub_process.terminate()
    gevent.spawn(_pause, hub_process.process, stopped_at + 4.75, 0.5)
    callers = [
        gevent.spawn(connection.send_at, stopped_at + 4.5 + 0.02 * number, REQUEST[-2:])
        for number, connection in enumerate(begun)
    ]
    gevent.joinall(callers, raise_error=True)
    assert [caller.value for caller in callers if caller.value] == []


@pytest.mark.parametrize(
    ("state", "delay_s", "data"),
    [
        (EndpointState.SILENT, 0.0, a_submission("0" * 16, deadline_ms=10_000)),
        (EndpointState.OPEN, 0.9, a_state_query()),
    ],
    ids=["submission to a silent store", "state query to a slow store"],
)
def test_a_request_in_progress_at_the_limit_of_the_drain_is_answered(
    start_process, state, delay_s, data
):
    daemon = start_process(hubs=0)
    assert KeptConnection(daemon.address).send_at(0.0, a_submission()) is None
    caller = KeptConnection(daemon.address)
    stopped_at = daemon.terminate()
    gevent.sleep(2.0)
    daemon.store.state, daemon.store.answer_delay_s = state, delay_s
    lost = gevent.spawn(caller.send_at, stopped_at + 2.5, data)
    exited = daemon.exits_by(stopped_at + GRACE_S)
    assert (exited, lost.get()) == (True, None)


def test_an_unfinished_body_does_not_delay_the_exit_beyond_the_grace_period(
    hub_process,
):
    caller = KeptConnection(hub_process.address)
    caller.begin(a_submission()[:-1])
    assert hub_process.exits_by(hub_process.terminate() + GRACE_S)
    caller.close()


def test_an_idle_caller_does_not_delay_a_slow_exit_beyond_the_grace_period(hub_process):
    idle = KeptConnection(hub_process.address)
    gevent.spawn(_stutter, hub_process.process, 0.05, 0.35)
    assert hub_process.exits_by(hub_process.terminate() + GRACE_S)
    idle.close()


@pytest.mark.parametrize(
    "part", [REQUEST[:-2], a_submission()[:-1]], ids=["head", "body"]
)
def test_an_unfinished_request_does_not_delay_a_slow_exit_beyond_the_grace_period(
    hub_process, part
):
    caller = KeptConnection(hub_process.address)
    caller.begin(part)
    gevent.spawn(_stutter, hub_process.process, 0.05, 0.35)
    assert hub_process.exits_by(hub_process.terminate() + GRACE_S)
    caller.close()


def test_a_stop_ends_within_a_grace_period_of_two_seconds(start_process):
    daemon = start_process(grace_s=2.0)
    assert daemon.exits_by(daemon.terminate() + 2.0)


# Guards against a daemon that ends because its settings change while it starts.
def test_a_reload_while_a_daemon_imports_its_modules_does_not_end_it(tmp_path):
    (tmp_path / "gevent.py").write_text(
        "import os, signal\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        "print('still here', flush=True)\n"
        "os._exit(0)\n"
    )
    source = Path(primrosehub.__file__).parent.parent
    result = subprocess.run(
        [sys.executable, str(source / "hub_main.py")],
        env={"PYTHONPATH": str(tmp_path)},
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, b"still here\n")
