"""Connections of this project's HTTP servers, and how a server is stopped."""

from __future__ import annotations

import select
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent import Greenlet, monkey, socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from primrosehub.core.logs import log

# A connection counts as idle after this time without a request.
IDLE_AFTER_S = 0.2
# By then a caller has seen that its connection ended.
END_SEEN_AFTER_S = 0.2
# Between two looks for idle connections while a server stops.
IDLE_CHECK_INTERVAL_S = 0.02
# The longest wait until all sockets with data were read, on a busy event loop.
READ_ARRIVED_TIMEOUT_S = 0.3
_READ_BYTES = 65_536
# gevent's own does not return before the event loop has run.
_poll = monkey.get_original("select", "poll")


class NoDelayHandler(WSGIHandler):
    """Send the head and the body of a response without a delay between them.

    gevent writes them separately; with Nagle's algorithm on, the body then
    waits for the peer's delayed acknowledgement, about 40 ms.
    """

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)


class DrainableHandler(NoDelayHandler):
    """Serve a connection that the server can end while it answers no request."""

    server: DrainableServer

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        super().__init__(sock, address, server)
        self._waiting_since: float | None = None
        self._answering = False
        self._ended_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether the connection has been without a request for a while."""
        since = self._waiting_since
        if since is None or time.monotonic() - since < IDLE_AFTER_S:
            return False
        # A request may have arrived that the event loop has not read.
        poller = _poll()
        poller.register(self.socket, select.POLLIN)
        return not poller.poll(0)

    @property
    def is_finished(self) -> bool:
        """Return whether the caller has had the time to see the connection's end."""
        ended_at = self._ended_at
        return ended_at is not None and time.monotonic() - ended_at >= END_SEEN_AFTER_S

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        with self.server.track(self):
            super().handle()

    def read_requestline(self) -> str:
        """Return the next request's first line, empty at the connection's end."""
        self._waiting_since = time.monotonic()
        try:
            return super().read_requestline()
        finally:
            self._waiting_since = None

    def handle_one_response(self) -> None:
        """Answer a request whose head was read, unless the connection has ended."""
        if self._ended_at is not None:
            # The response can no longer be sent, so the request must not run.
            self.server.discarded_requests += 1
            self.close_connection = True
            self._read_to_end()
            return
        self._answering = True
        try:
            super().handle_one_response()
        finally:
            self._answering = False

    def end(self) -> None:
        """Tell the caller that no more responses follow, unless one is under way."""
        if self._ended_at is None and not self._answering:
            self._ended_at = time.monotonic()
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # the caller closed the connection at the same moment

    def _read_to_end(self) -> None:
        """Discard what arrives; closing a socket with unread data would reset it."""
        try:
            while self.socket.recv(_READ_BYTES):
                pass
        except OSError:
            pass  # the caller reset the connection


class DrainableServer(WSGIServer):
    """Serve HTTP, and stop without losing a request that has arrived."""

    def __init__(self, *args: Any, **options: Any) -> None:
        options.setdefault("handler_class", DrainableHandler)
        super().__init__(*args, **options)
        self._connections: set[DrainableHandler] = set()
        self._open_connections = 0
        self.discarded_requests = 0  # which crossed the end of their connection

    @property
    def open_connections(self) -> int:
        """Return how many connections were accepted and are not closed."""
        return self._open_connections

    @property
    def active_connections(self) -> int:
        """Return how many connections are open whose callers may expect an answer."""
        finished = sum(connection.is_finished for connection in self._connections)
        return self.open_connections - finished

    def do_handle(self, *args: Any) -> None:
        """Spawn the task of a connection, which counts as open from now on."""
        self._open_connections += 1
        super().do_handle(*args)

    def do_close(self, *args: Any) -> None:
        """Close a connection at the end of its task."""
        self._open_connections -= 1
        super().do_close(*args)

    @contextmanager
    def track(self, connection: DrainableHandler) -> Iterator[None]:
        """Let the connection be ended while the context lasts."""
        self._connections.add(connection)
        try:
            yield
        finally:
            self._connections.discard(connection)

    def drain(self, limit_s: float) -> None:
        """Close the listener, answer what has arrived and end idle connections.

        Return when no connection is active, after ``limit_s`` at the latest. Then all
        connections have been ended on which no request is being answered.
        """
        deadline = time.monotonic() + limit_s
        _read_arrived()
        self._accept_backlog()
        self.close()
        while self.active_connections and time.monotonic() < deadline:
            _read_arrived()
            for connection in tuple(self._connections):
                if connection.is_idle:
                    connection.end()
            gevent.sleep(IDLE_CHECK_INTERVAL_S)
        _read_arrived()
        for connection in tuple(self._connections):
            connection.end()

    def _accept_backlog(self) -> None:
        """Accept what the event loop has not; closing the listener resets the rest."""
        try:
            while not self.closed and not self.full():
                accepted = self.do_read()
                if accepted is None:
                    return
                self.do_handle(*accepted)
        except OSError as error:
            log("backlog_not_accepted", reason=str(error))


class RequestTasks:
    """Track the tasks that work on a request, so that a stop can interrupt them."""

    def __init__(self) -> None:
        self._error_of_task: dict[Greenlet, Exception] = {}

    def __len__(self) -> int:
        return len(self._error_of_task)

    @contextmanager
    def track(self, error: Exception) -> Iterator[None]:
        """Let the current task be interrupted with an error while the context lasts."""
        task = gevent.getcurrent()
        self._error_of_task[task] = error
        try:
            yield
        finally:
            del self._error_of_task[task]

    def interrupt(self) -> None:
        """Raise in each task its error, in the next iteration of the event loop."""
        # Only there it is certain that a task waits, and not after its request's end.
        loop = gevent.get_hub().loop
        for task in tuple(self._error_of_task):
            loop.run_callback(self._interrupt, task)

    def _interrupt(self, task: Greenlet) -> None:
        error = self._error_of_task.get(task)
        if error is not None:
            task.throw(error)


def _read_arrived() -> None:
    """Let the event loop accept connections and read sockets until it is idle.

    On a slow processor, expired timers would otherwise run before ready sockets.
    """
    with gevent.Timeout(READ_ARRIVED_TIMEOUT_S, False):
        gevent.idle()
