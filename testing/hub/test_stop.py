"""Planned stops of a daemon process while callers send on open connections."""

import signal
import socket
import subprocess
import sys
import time

import gevent
import pytest

from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import HOST_NAME, PREFIX, HubCell
from primrosehub_standins.row_store import EndpointState, StoreEndpoint

GRACE_S = 6.0  # the process is killed then
# Callers take a connection that ends sooner after a request for one that was idle.
LOSS_SLACK_S = 0.2
REQUEST = f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode()
# The process runs for 30 ms, then not for 120 ms, as on a processor with a quota.
RUN_S, PAUSE_S = 0.03, 0.12


class KeptConnection:
    """A caller's connection that stays open between requests."""

    def __init__(self, address):
        ip, _, port = address.rpartition(":")
        self._sock = socket.create_connection((ip, int(port)), timeout=10)
        assert self._exchange() is not None

    def close(self):
        self._sock.close()

    def send_at(self, moment):
        """Send at a moment unless the connection has ended; return what was lost."""
        try:
            with gevent.Timeout(max(0.0, moment - time.monotonic())):
                assert self._sock.recv(1) == b""
                return None
        except gevent.Timeout:
            pass
        except OSError:
            return None
        sent_at = time.monotonic()
        try:
            answer = self._exchange()
        except OSError:
            answer = None
        waited_s = time.monotonic() - sent_at
        if answer is None and waited_s > LOSS_SLACK_S:
            return f"no answer after {waited_s:.3f} s"
        return None

    def _exchange(self):
        """Return the response to a request, or None if the connection ends first."""
        self._sock.sendall(REQUEST)
        data = b""
        while not data.endswith(b"}"):
            part = self._sock.recv(4096)
            if not part:
                return None
            data += part
        return data


@pytest.fixture
def hub_process(tmp_path):
    with HubCell(hubs=1) as cell:
        cell.leader()
        settings = cell.new_settings(7, StoreEndpoint())
        path = tmp_path / "settings.json"
        path.write_text(settings.model_dump_json())
        process = subprocess.Popen(
            [sys.executable, "-m", "primrosehub.binaries.hub", "--settings", path],
            stdout=subprocess.DEVNULL,
        )
        try:
            cell.until(lambda: _is_serving(settings.callers), "no answer", 20.0)
            yield process, settings.callers
        finally:
            process.kill()
            process.wait()


def _is_serving(address):
    try:
        connection = KeptConnection(address)
    except (OSError, AssertionError):
        return False
    connection.close()
    return True


def _stutter(process):
    while process.poll() is None:
        gevent.sleep(RUN_S)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("first_s", "last_s", "count"),
    [(2.0, 5.9, 120), (2.28, 2.32, 4)],
    ids=["steady", "at the end"],
)
def test_a_stop_loses_no_request_of_a_kept_connection(
    hub_process, first_s, last_s, count
):
    process, address = hub_process
    kept = [KeptConnection(address) for _ in range(count)]
    stutter = gevent.spawn(_stutter, process)
    stopped_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
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
