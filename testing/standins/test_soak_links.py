"""Links that a soak cuts: which, and what the relay does meanwhile."""

import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer
from testing.builders.soak import a_cut_nodes, a_cut_owner, a_cut_zone

from primrosehub_standins.hub_cell import free_port
from primrosehub_standins.soak import linked_daemon
from primrosehub_standins.soak.isolation import STORE, Nodes, cut_of
from primrosehub_standins.soak.links import BothWays, Links, OneWay, Relay, is_cut
from primrosehub_standins.soak.plan import CutLink

IP = "127.0.0.1"
SHORT_S, LONG_S = 0.2, 5.0
NODES = Nodes(daemon_count=6, host_count=8, zones=4)
HUB, HOST = frozenset(("hub-0",)), frozenset(("i-0",))


class Setting:
    """Hold a relay between a daemon and a host that answers each line in capitals."""

    def __init__(self, stack):
        self.received = Queue()
        self.server = StreamServer((IP, 0), self._answer)
        self.server.start()
        stack.callback(self.server.stop, timeout=0)
        self.address = f"{IP}:{self.server.server_port}"
        self.links = Links()
        self.relay = stack.enter_context(Relay(self.links, {self.address: "i-0"}))
        self._stack = stack

    def connect(self, address=""):
        """Connect as the daemon; return the socket, with the relay's answer to come."""
        sock = socket.create_connection((IP, self.relay.port))
        self._stack.callback(sock.close)
        sock.settimeout(LONG_S)
        sock.sendall(f"hub-0 {address or self.address}\n".encode())
        return sock

    def connected(self):
        sock = self.connect()
        assert sock.recv(1) == b"+"
        return sock

    def _answer(self, sock, _):
        while line := sock.recv(100):
            self.received.put(line)
            sock.sendall(line.upper())


@pytest.fixture
def setting():
    with ExitStack() as stack:
        yield Setting(stack)


def gets_nothing(sock):
    sock.settimeout(SHORT_S)
    try:
        sock.recv(1)
    except TimeoutError:
        return True
    finally:
        sock.settimeout(LONG_S)
    return False


def test_bytes_are_forwarded_both_ways(setting):
    sock = setting.connected()
    sock.sendall(b"a")
    assert sock.recv(1) == b"A"


def test_a_cut_withholds_bytes_and_delivers_them_when_it_heals(setting):
    sock = setting.connected()
    with setting.links.cut(BothWays(HUB, HOST)):
        sock.sendall(b"a")
        assert gets_nothing(sock)
        assert setting.received.empty()
    assert sock.recv(1) == b"A"
    assert setting.received.get(timeout=LONG_S) == b"a"


def test_a_link_heals_once_its_last_cut_has_ended(setting):
    sock = setting.connected()
    with setting.links.cut(BothWays(HUB, HOST)):
        with setting.links.cut(BothWays(HOST, HUB)):
            sock.sendall(b"a")
        assert gets_nothing(sock)
    assert sock.recv(1) == b"A"


def test_orders_arrive_over_a_link_that_loses_only_answers(setting):
    sock = setting.connected()
    with setting.links.cut(OneWay(HOST, HUB)):
        sock.sendall(b"a")
        assert setting.received.get(timeout=LONG_S) == b"a"
        assert gets_nothing(sock)
    assert sock.recv(1) == b"A"


def test_orders_do_not_arrive_over_a_link_that_loses_them(setting):
    sock = setting.connected()
    with setting.links.cut(OneWay(HUB, HOST)):
        sock.sendall(b"a")
        assert gets_nothing(sock)
        assert setting.received.empty()
    assert sock.recv(1) == b"A"


@pytest.mark.parametrize("cut", [OneWay(HUB, HOST), OneWay(HOST, HUB)])
def test_a_connection_over_a_cut_link_hangs_until_it_heals(setting, cut):
    with setting.links.cut(cut):
        sock = setting.connect()
        assert gets_nothing(sock)
    assert sock.recv(1) == b"+"


def test_what_was_sent_before_the_daemon_closed_arrives_later(setting):
    sock = setting.connected()
    with setting.links.cut(BothWays(HUB, HOST)):
        sock.sendall(b"a")
        sock.close()
        gevent.sleep(SHORT_S)
        assert setting.received.empty()
    assert setting.received.get(timeout=LONG_S) == b"a"


def test_a_daemon_learns_of_the_end_of_a_connection_when_the_link_heals(setting):
    sock = setting.connected()
    with setting.links.cut(OneWay(HOST, HUB)):
        sock.shutdown(socket.SHUT_WR)
        assert gets_nothing(sock)
    assert sock.recv(1) == b""


def test_other_links_stay_open(setting):
    sock = setting.connected()
    with setting.links.cut(BothWays(HUB, frozenset(("i-1", STORE)))):
        sock.sendall(b"a")
        assert sock.recv(1) == b"A"


def test_a_refused_target_is_refused(setting):
    assert setting.connect(f"{IP}:{free_port()}").recv(1) == b"-"


def test_a_daemon_that_ends_while_it_connects_harms_nobody(setting):
    socket.create_connection((IP, setting.relay.port)).close()
    setting.connect().close()
    sock = setting.connected()
    sock.sendall(b"a")
    assert sock.recv(1) == b"A"


PROGRAM = """
import sys
from gevent import socket
for address in {addresses}:
    try:
        with socket.create_connection(address) as sock:
            sock.sendall(b"a")
            print(sock.recv(1))
    except ConnectionRefusedError:
        print("refused")
print(sys.argv, __name__)
"""


def test_a_program_behind_the_relay_connects_and_is_refused_as_without(
    setting, tmp_path
):
    addresses = [(IP, setting.server.server_port), (IP, free_port())]
    path = tmp_path / "program.py"
    path.write_text(PROGRAM.format(addresses=addresses))
    starter = Path(linked_daemon.__file__)
    port = str(setting.relay.port)
    done = subprocess.run(
        [sys.executable, "-P", str(starter), "hub-0", port, str(path)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.stdout.splitlines() == ["b'A'", "refused", f"['{path}'] __main__"]
    assert done.stderr == ""


def test_a_zone_is_cut_off_with_its_daemons_and_hosts():
    near, cut = cut_of(a_cut_zone(zone=1), NODES, "hub-0")
    assert near == {"hub-1", "hub-5", "i-1", "i-5"}
    assert is_cut(cut, "hub-1", STORE)
    assert is_cut(cut, "hub-2", "i-1")
    assert not is_cut(cut, "hub-1", "hub-5")
    assert not is_cut(cut, "hub-1", "i-5")
    assert not is_cut(cut, "hub-0", STORE)


def test_an_owner_is_cut_off_with_nodes_of_its_zone_first():
    near, _ = cut_of(a_cut_owner(daemons=1, hosts=2), NODES, "hub-5")
    assert near == {"hub-5", "hub-1", "i-1", "i-5"}
    near, _ = cut_of(a_cut_owner(daemons=2, hosts=0), NODES, "hub-5")
    assert near == {"hub-5", "hub-1", "hub-0"}


def test_an_owner_is_cut_off_alone():
    near, cut = cut_of(a_cut_owner(daemons=0, hosts=0), NODES, "hub-2")
    assert near == {"hub-2"}
    assert is_cut(cut, "hub-2", "hub-3")


def test_nodes_that_are_cut_off_may_keep_the_store():
    isolation = a_cut_nodes((0, 3), (7,), keep_store=True)
    near, cut = cut_of(isolation, NODES, "hub-1")
    assert near == {"hub-0", "hub-3", "i-7"}
    assert not is_cut(cut, "hub-0", STORE)
    assert is_cut(cut, "hub-0", "hub-1")


@pytest.mark.parametrize(
    ("direction", "sent", "received"),
    [("both", True, True), ("outgoing", True, False), ("incoming", False, True)],
)
def test_a_single_link_is_cut_in_its_directions(direction, sent, received):
    isolation = CutLink(1.0, 2, STORE, 12.0, direction)
    near, cut = cut_of(isolation, NODES, "hub-0")
    assert near == {"hub-2"}
    assert is_cut(cut, "hub-2", STORE) == sent
    assert is_cut(cut, STORE, "hub-2") == received
    assert not is_cut(cut, "hub-2", "hub-0")
