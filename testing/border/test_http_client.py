import gevent
import pytest
from gevent.server import StreamServer

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Peer:
    """Answer each request with the next of the given byte strings."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = 0
        self.connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()

    def handle(self, sock, address):
        self.connections += 1
        while sock.recv(65536):
            self.requests += 1
            answer = self.answers.pop(0)
            if answer is None:
                gevent.sleep(60)
                return
            sock.sendall(answer)
            if not answer.endswith(b"ok"):
                sock.close()
                return


@pytest.fixture
def peer_of():
    peers = []

    def make(*answers):
        peers.append(Peer(answers))
        return peers[-1], HttpEndpoint("127.0.0.1", peers[-1].server.server_port)

    yield make
    for peer in peers:
        peer.server.stop()


def get(endpoint, timeout_s=10.0, **options):
    return endpoint.exchange("GET", "/", timeout_s=timeout_s, **options)


def test_a_connection_is_reused(peer_of):
    peer, endpoint = peer_of(OK, OK)
    assert get(endpoint).body == get(endpoint).body == b"ok"
    assert peer.connections == 1


def test_a_fresh_exchange_opens_a_connection(peer_of):
    peer, endpoint = peer_of(OK, OK)
    get(endpoint)
    get(endpoint, new_connection=True)
    assert peer.connections == 2


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nonsense\r\n\r\n",
        OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
    ],
)
def test_a_partial_or_doubled_answer_is_no_answer(peer_of, answer):
    peer, endpoint = peer_of(answer)
    with pytest.raises(NoAnswer):
        get(endpoint)
    assert peer.requests == 1


def test_a_late_answer_never_reaches_the_next_request(peer_of):
    peer, endpoint = peer_of(None, OK)
    with pytest.raises(NoAnswer, match="no response before the timeout"):
        get(endpoint, timeout_s=0.05)
    assert get(endpoint).body == b"ok"
    assert peer.connections == 2


def test_stray_bytes_on_an_idle_connection_are_not_an_answer(peer_of):
    stray = OK + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    peer, endpoint = peer_of(OK, OK)
    get(endpoint)
    sock = endpoint._idle[0]
    peer.answers.insert(0, stray)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    gevent.sleep(0.05)
    assert get(endpoint).body == b"ok"
    assert peer.connections == 2


def test_a_closed_port_means_not_sent():
    with pytest.raises(NotSent):
        get(HttpEndpoint("127.0.0.1", 1))
