import socket

import gevent
import pytest

from primrosehub.border import http_server
from primrosehub.border.http_server import IDLE_AFTER_S, DrainableServer

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMIT_S = 3.0


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
    server = DrainableServer(("127.0.0.1", 0), handler, log=None)
    server.start()
    yield server
    server.stop(0)


def connect(server):
    return socket.create_connection(("127.0.0.1", server.server_port), timeout=5)


def exchange(sock):
    sock.sendall(REQUEST)
    return sock.recv(4096)


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
