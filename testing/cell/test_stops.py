"""Planned stops of daemons while callers send and the table or processor is slow."""

import signal
import time

import gevent
import pytest

from primrosehub_standins.journal import read_journal
from testing.builders import SECRET, a_submission
from testing.cell.callers import KeptConnection
from testing.conftest import FAST_TIMING

# The process runs for 50 ms, then not for 400 ms, as on a crowded processor.
RUN_S, PAUSE_S = 0.05, 0.4


def connect(cell, count):
    return [KeptConnection(cell, f"request-{number}") for number in range(count)]


def send_during_a_stop(cell, kept, last_s, *request):
    """Send one request on each connection, evenly until ``last_s`` after SIGTERM."""
    stopped_at = time.monotonic()
    step_s = last_s / len(kept)
    callers = [
        gevent.spawn(connection.send_at, stopped_at + step_s * number, *request)
        for number, connection in enumerate(kept)
    ]
    gevent.sleep(0)
    assert cell.stop("entry-1") == 0
    gevent.joinall(callers, raise_error=True)
    assert any(connection.status for connection in kept)


def send_until_ended(connection):
    while connection.send_at(time.monotonic() + 0.02, "GET", "/v1/jobs?limit=1"):
        pass


def stutter(process):
    while process.poll() is None:
        gevent.sleep(RUN_S)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)


def lost(kept):
    return [connection.lost for connection in kept if connection.lost]


def refused(kept):
    return {c.name for c in kept if c.status and c.was_refused}


def begun(cell):
    events = read_journal(cell.journal("backend"))
    return {event["id"] for event in events if event["event"] == "begin"}


def test_a_stop_loses_no_submission_while_the_table_is_slow(start_cell):
    cell, callers = start_cell(entries=2)
    kept = connect(cell, 60)
    cell.fault("table", slow_s=0.6)
    send_during_a_stop(cell, kept, 3.0, "POST", "/v1/jobs", a_submission())
    cell.fault("table", slow_s=0.0)
    assert lost(kept) == []
    for connection in kept:
        if connection.status == 201 or connection.name in refused(kept):
            again = callers.submit(connection.name, entry=2)
            assert again.status == (200 if connection.status == 201 else 201)


@pytest.mark.parametrize("target", ["/v1/call/quotes/x", "/v1/jobs?limit=1"])
def test_a_stop_loses_no_request_while_the_processor_is_slow(start_cell, target):
    cell, _ = start_cell()
    kept = connect(cell, 120)
    pauses = gevent.spawn(stutter, cell.daemons["entry-1"].process)
    send_during_a_stop(cell, kept, 2.5, "GET", target)
    pauses.join(5)
    assert lost(kept) == []
    assert not refused(kept) & begun(cell)


def test_requests_that_outlast_a_stop_are_told_whether_they_ran(start_cell):
    cell, _ = start_cell(zones=1, backends=1, slots=4, entry_settings={"drain_s": 0.5})
    kept = connect(cell, 7)
    running = [
        gevent.spawn(c.send_at, 0.0, "POST", "/v1/call/quotes/x?ms=2800")
        for c in kept[1:]
    ]
    half_sent = kept[0].http
    half_sent.putrequest("POST", "/v1/call/quotes/x")
    half_sent.putheader("Primrosehub-Key", SECRET)
    half_sent.putheader("Content-Length", "10")
    half_sent.endheaders(b"part")
    gevent.sleep(0.3)
    assert cell.stop("entry-1") == 0
    kept[0].read_answer()
    gevent.joinall(running, raise_error=True)
    assert lost(kept) == []
    kinds = sorted(connection.problem["kind"] for connection in kept)
    assert kinds == ["outcome_unknown"] * 4 + ["unavailable"] * 3
    assert len(begun(cell)) == 4
    assert not refused(kept) & begun(cell)


def test_a_stop_does_not_wait_for_callers_that_keep_their_connections(start_cell):
    cell, _ = start_cell(entry_settings={"drain_s": 8.0})
    kept = connect(cell, 3)
    busy = gevent.spawn(send_until_ended, kept[0])
    gevent.sleep(0.2)
    stopped_at = time.monotonic()
    assert cell.stop("entry-1") == 0
    assert time.monotonic() - stopped_at < 4.0
    busy.get()
    assert lost(kept) == []


def test_a_stop_answers_callers_that_wait_for_one_of_the_connections(start_cell):
    cell, _ = start_cell(entry_settings={"max_connections": 2})
    kept = connect(cell, 2)
    waiting = gevent.spawn(KeptConnection, cell, "waiting")
    gevent.sleep(0.5)
    assert not waiting.ready()
    assert cell.stop("entry-1") == 0
    assert lost([*kept, waiting.get()]) == []


def test_a_scheduler_daemon_stops_while_the_table_is_slow(start_cell):
    cell, _ = start_cell(shards=4)
    cell.wait_for(
        lambda: cell.metrics("scheduler-1").get("primrosehub_shards_held") == 4,
        "all shards held",
    )
    gevent.sleep(2 * FAST_TIMING["renew_s"])  # until its view shows them as its own
    cell.fault("table", slow_s=0.6)
    assert cell.stop("scheduler-1") == 0
