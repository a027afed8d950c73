"""Request handler of this project's HTTP servers."""

from __future__ import annotations

from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler


class NoDelayHandler(WSGIHandler):
    """Send the head and the body of a response without a delay between them.

    gevent writes them separately; with Nagle's algorithm on, the body then
    waits for the peer's delayed acknowledgement, about 40 ms.
    """

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)
