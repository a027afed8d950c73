"""Links between daemons, worker hosts and the store, and a relay that cuts them.

A cut link withholds what is sent over it until it heals, as TCP does; nothing is lost.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass

from gevent import socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.server import StreamServer

IP = "127.0.0.1"
MAX_HELLO_BYTES = 200
_BLOCK_BYTES = 65_536
_CONNECTED, _REFUSED = b"+", b"-"


@dataclass(frozen=True, slots=True)
class BothWays:
    """Cut each of some nodes off from each of others."""

    near: frozenset[str]
    far: frozenset[str]


@dataclass(frozen=True, slots=True)
class OneWay:
    """Withhold what some nodes send to others, while these reach them."""

    senders: frozenset[str]
    receivers: frozenset[str]


Cut = BothWays | OneWay


def is_cut(cut: Cut, sender: str, receiver: str) -> bool:
    """Tell whether a cut withholds what one node sends to another."""
    match cut:
        case BothWays(near=near, far=far):
            outward = sender in near and receiver in far
            return outward or (sender in far and receiver in near)
        case OneWay(senders=senders, receivers=receivers):
            return sender in senders and receiver in receivers


class Links:
    """Hold the cuts of the moment, and let senders wait for their end."""

    def __init__(self) -> None:
        self._cuts: list[Cut] = []
        self._healed = Event()

    @contextmanager
    def cut(self, cut: Cut) -> Iterator[None]:
        """Cut links, and heal them at the end of the context."""
        self._cuts.append(cut)
        try:
            yield
        finally:
            self._cuts.remove(cut)
            self._healed.set()
            self._healed = Event()

    def wait_until_open(self, sender: str, receiver: str) -> None:
        """Wait until what one node sends to another arrives."""
        while any(is_cut(cut, sender, receiver) for cut in self._cuts):
            self._healed.wait()


class Relay:
    """Forward the daemons' connections over the links, a task for each direction.

    ``nodes`` names the node of each address that daemons connect to.
    """

    def __init__(self, links: Links, nodes: Mapping[str, str]) -> None:
        self._links = links
        self._nodes = nodes
        self._tasks = Pool()
        self._server = StreamServer((IP, 0), self._serve, spawn=self._tasks)

    def __enter__(self) -> Relay:
        self._server.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._server.stop(timeout=0)

    @property
    def port(self) -> int:
        """Return the port to which daemons connect."""
        return self._server.server_port

    def _serve(self, near: socket.socket, _: object) -> None:
        with ExitStack() as stack:
            stack.callback(near.close)
            # The daemon may be killed, or give up, at any moment.
            stack.enter_context(suppress(OSError))
            sender, address = _read_hello(near)
            if not address:
                return
            receiver = self._nodes.get(address, address)
            self._wait_for_both_ways(sender, receiver)
            try:
                far = stack.enter_context(_connect(address))
            except ConnectionRefusedError:
                near.sendall(_REFUSED)
                return
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            near.sendall(_CONNECTED)
            back = self._tasks.spawn(self._forward, far, near, receiver, sender)
            stack.callback(back.join)
            self._forward(near, far, sender, receiver)

    def _forward(
        self,
        source: socket.socket,
        target: socket.socket,
        sender: str,
        receiver: str,
    ) -> None:
        """Forward bytes and their end from one socket to the other."""
        try:
            while block := source.recv(_BLOCK_BYTES):
                self._links.wait_until_open(sender, receiver)
                target.sendall(block)
            self._links.wait_until_open(sender, receiver)
            target.shutdown(socket.SHUT_WR)
        except OSError:  # one side was reset, which the other learns over the link
            self._wait_for_both_ways(sender, receiver)
            for sock in (source, target):
                with suppress(OSError):  # it may be closed already
                    sock.shutdown(socket.SHUT_RDWR)

    def _wait_for_both_ways(self, sender: str, receiver: str) -> None:
        self._links.wait_until_open(sender, receiver)
        self._links.wait_until_open(receiver, sender)


def _read_hello(sock: socket.socket) -> tuple[str, str]:
    """Return the daemon that connects and the address that it asks for."""
    hello = b""
    while not hello.endswith(b"\n") and len(hello) < MAX_HELLO_BYTES:
        byte = sock.recv(1)
        if not byte:
            break
        hello += byte
    sender, _, address = hello.decode().strip().partition(" ")
    return sender, address


def _connect(address: str) -> socket.socket:
    ip, _, port = address.rpartition(":")
    sock = socket.create_connection((ip, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
