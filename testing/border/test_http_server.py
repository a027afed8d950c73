import os
import resource
import socket
from contextlib import ExitStack, contextmanager

import gevent
import pytest
from gevent.monkey import get_original

from primrosehub.border import http_server
from primrosehub.border.http_server import (
    IDLE_AFTER_S,
    IDLE_CHECK_INTERVAL_S,
    READ_ARRIVED_TIMEOUT_S,
    DrainableServer,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMIT_S = 3.0
# Callers take a connection that ends sooner after a request for one that was idle.
LOSS_SLACK_S = 0.2


class Handler:
    def __init__(self):
        self.served = 0
        self.delay_s = 0.0

    def __call__(self, environ, start_response):
        self.served += 1
        gevent.sleep(self.delay_s)
        start_response("200 OK", [("Content-Length", "3")])
        return [b"yes"]


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    server = DrainableServer(("127.0.0.1", 0), handler, log=None, backlog=512)
    server.start()
    yield server
    server.stop(0)


def connect(server):
    return socket.create_connection(("127.0.0.1", server.server_port), timeout=5)


def exchange(sock):
    sock.sendall(REQUEST)
    return sock.recv(4096)


def receive_now(sock):
    try:
        return sock.recv(4096, socket.MSG_DONTWAIT)
    except OSError as error:
        return type(error).__name__.encode()


def block_event_loop():
    get_original("time", "sleep")(READ_ARRIVED_TIMEOUT_S + LOSS_SLACK_S)


@contextmanager
def no_free_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_drain_ends_idle_connections_and_the_listener(server):
    with connect(server) as sock:
        assert exchange(sock).endswith(b"yes")
        gevent.sleep(IDLE_AFTER_S)
        drain = gevent.spawn(server.drain, LIMIT_S)
        assert sock.recv(1) == b""
    drain.join()
    assert server.open_connections == 0
    with pytest.raises(ConnectionRefusedError):
        connect(server)


def test_a_request_that_arrived_before_the_drain_is_answered(server, handler):
    handler.delay_s = 0.5
    with connect(server) as sock:
        sock.sendall(REQUEST)
        # No event loop iteration has accepted the connection yet.
        server.drain(LIMIT_S)
        assert handler.served == 1
        assert sock.recv(4096).endswith(b"yes")


def test_a_busy_event_loop_loses_no_connection_of_the_backlog(
    server, handler, monkeypatch
):
    # As if the loop stayed busy until the timeout.
    monkeypatch.setattr(http_server, "_read_arrived", lambda: None)
    with connect(server) as sock:
        sock.sendall(REQUEST)
        # In this greenlet, so that the event loop has not run since.
        server.drain(LIMIT_S)
        # A daemon exits now.
        assert handler.served == 1
        assert sock.recv(4096).endswith(b"yes")


def test_a_busy_event_loop_ends_no_connection_with_an_unread_request(
    server, handler, monkeypatch
):
    # As if the loop stayed busy until the timeout.
    monkeypatch.setattr(http_server, "_read_arrived", lambda: None)
    with connect(server) as sock:
        assert exchange(sock).endswith(b"yes")
        gevent.sleep(IDLE_AFTER_S)
        sock.sendall(REQUEST)
        # In this greenlet, so that the event loop has not run since.
        server.drain(LIMIT_S)
        assert handler.served == 2
        assert sock.recv(4096).endswith(b"yes")


def test_a_request_after_the_end_of_a_connection_does_not_run(server, handler):
    with connect(server) as sock:
        assert exchange(sock).endswith(b"yes")
        gevent.sleep(IDLE_AFTER_S)
        drain = gevent.spawn(server.drain, LIMIT_S)
        assert sock.recv(1) == b""
        assert exchange(sock) == b""
    drain.join()
    assert handler.served == 1


def test_a_drain_ends_at_its_limit_while_a_request_runs(server, handler):
    handler.delay_s = 60.0
    with connect(server) as sock:
        sock.sendall(REQUEST)
        with gevent.Timeout(5.0):
            server.drain(0.5)
        assert server.open_connections == 1


@pytest.mark.parametrize("count", [1, 150])
def test_connections_that_arrived_during_a_busy_event_loop_are_served(server, count):
    # gevent's own connect would run the event loop, which would accept.
    native_socket = get_original("socket", "socket")
    with ExitStack() as stack:
        callers = [stack.enter_context(native_socket()) for _ in range(count)]
        for caller in callers:
            caller.connect(("127.0.0.1", server.server_port))
            caller.sendall(REQUEST)
        gevent.spawn(block_event_loop)
        server.drain(LIMIT_S)
        answers = [receive_now(caller) for caller in callers]
        assert [one for one in answers if not one.endswith(b"yes")] == []


@pytest.mark.parametrize(
    ("begun", "limit_s"),
    [(b"", 0.0), (REQUEST[:-2], 0.5)],
    ids=["idle without time to drain", "incomplete request at the limit"],
)
def test_no_caller_can_go_on_sending_after_a_drain(server, begun, limit_s):
    with connect(server) as sock:
        assert exchange(sock).endswith(b"yes")
        sock.sendall(begun)
        gevent.sleep(IDLE_AFTER_S)
        server.drain(limit_s)
        sock.settimeout(LOSS_SLACK_S)
        # The end of the connection, alone or after a refusal of the request.
        while sock.recv(4096):
            pass


def test_a_request_that_arrives_during_a_pause_at_the_limit_is_answered(
    server, handler
):
    with connect(server) as sock:
        assert exchange(sock).endswith(b"yes")
        drain = gevent.spawn(server.drain, IDLE_CHECK_INTERVAL_S)
        gevent.sleep(IDLE_CHECK_INTERVAL_S / 2)
        sock.sendall(REQUEST)
        # In this greenlet, so that the event loop has not run since.
        block_event_loop()
        drain.join()
        assert handler.served == 2
        assert sock.recv(4096).endswith(b"yes")


def test_a_drain_without_free_descriptors_answers_what_was_accepted(server, handler):
    # gevent's own connect would run the event loop, which would accept.
    waiting = get_original("socket", "socket")()
    with connect(server) as sock, waiting:
        assert exchange(sock).endswith(b"yes")
        handler.delay_s = 0.5
        sock.sendall(REQUEST)
        gevent.sleep(0.1)
        waiting.connect(("127.0.0.1", server.server_port))
        with no_free_descriptors():
            server.drain(LIMIT_S)
        assert sock.recv(4096).endswith(b"yes")
