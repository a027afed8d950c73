import gevent
import pytest
from gevent.server import StreamServer

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Answer each request with the next of the given byte strings."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = 0
        self.connections = 0
        self.stream_server = StreamServer(("127.0.0.1", 0), self.handle)
        self.stream_server.start()

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
def start_server():
    servers = []

    def make(*answers):
        servers.append(ScriptedServer(answers))
        return servers[-1], HttpEndpoint(
            "127.0.0.1", servers[-1].stream_server.server_port
        )

    yield make
    for server in servers:
        server.stream_server.stop()


def get(endpoint, timeout_s=10.0, **options):
    return endpoint.exchange("GET", "/", timeout_s=timeout_s, **options)


def test_a_connection_is_reused(start_server):
    server, endpoint = start_server(OK, OK)
    assert get(endpoint).body == get(endpoint).body == b"ok"
    assert server.connections == 1


def test_an_exchange_can_open_a_new_connection(start_server):
    server, endpoint = start_server(OK, OK)
    get(endpoint)
    get(endpoint, new_connection=True)
    assert server.connections == 2


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
def test_a_partial_or_doubled_answer_is_no_answer(start_server, answer):
    server, endpoint = start_server(answer)
    with pytest.raises(NoAnswer):
        get(endpoint)
    assert server.requests == 1


def test_a_late_answer_never_reaches_the_next_request(start_server):
    server, endpoint = start_server(None, OK)
    with pytest.raises(NoAnswer, match="no response before the timeout"):
        get(endpoint, timeout_s=0.05)
    assert get(endpoint).body == b"ok"
    assert server.connections == 2


def test_stray_bytes_on_an_idle_connection_are_not_an_answer(start_server):
    stray = OK + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    server, endpoint = start_server(OK, OK)
    get(endpoint)
    sock = endpoint._idle[0]
    server.answers.insert(0, stray)
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    gevent.sleep(0.05)
    assert get(endpoint).body == b"ok"
    assert server.connections == 2


def test_a_closed_port_means_not_sent():
    with pytest.raises(NotSent):
        get(HttpEndpoint("127.0.0.1", 1))
