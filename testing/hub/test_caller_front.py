"""The caller front alone, with requests that stay in progress."""

import socket
from contextlib import ExitStack
from types import SimpleNamespace

import gevent
import pytest
from gevent.monkey import get_original

from primrosehub.border.http_client import HttpEndpoint, encode_request
from primrosehub.border.http_server import READ_ARRIVED_TIMEOUT_S
from primrosehub.core.clusterconfig import ClusterConfig
from primrosehub.services.caller_front import CallerFront
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import CLUSTER_CONFIG, INTAKE
from primrosehub_standins.hub_cell import IP, free_port
from testing.fakes import FakeConfiguration, FakeIntake, FakeKernel, FakeMetrics

JOB = b'{"spec":"run 0.1","phases":[{"count":1}]}'


@pytest.fixture
def intake():
    return FakeIntake()


@pytest.fixture
def front(intake):
    services = {
        CLUSTER_CONFIG: FakeConfiguration(ClusterConfig()),
        INTAKE: intake,
        METRICS: FakeMetrics(),
    }
    address = f"{IP}:{free_port()}"
    front = CallerFront(FakeKernel(services, SimpleNamespace(callers=address)))
    with ExitStack() as stack:
        front.start(stack)
        yield front
        intake.released.set()


def send(front, method, path):
    ip, _, port = front._kernel.settings.callers.rpartition(":")
    body = JOB if method == "POST" else b""
    endpoint = HttpEndpoint(ip, int(port))
    try:
        return endpoint.exchange(method, path, (), body, timeout_s=5.0)
    finally:
        endpoint.close()


def wait_for_requests(front, count):
    with gevent.Timeout(5.0):
        while front.in_flight < count:
            gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/quotes/0000000000000001", 504),
        ("DELETE", "/quotes/0000000000000001", 504),
        ("GET", "/quotes/0000000000000001", 503),
        ("GET", "/quotes/", 503),
    ],
)
def test_a_request_in_progress_at_the_end_of_a_drain_gets_an_error(
    front, method, path, status
):
    request = gevent.spawn(send, front, method, path)
    wait_for_requests(front, 1)
    front._kernel.stopping.set()
    front.drain(0.5)
    assert front.in_flight == 0
    response = request.get()
    assert response.status == status
    assert dict(response.headers)["Retry-After"] == "1"


def test_a_request_that_ends_during_a_drain_gets_its_own_answer(front, intake):
    request = gevent.spawn(send, front, "POST", "/quotes/0000000000000001")
    wait_for_requests(front, 1)
    drain = gevent.spawn(front.drain, 5.0)
    gevent.sleep(0.1)
    intake.released.set()
    drain.join()
    assert request.get().status == 200


def test_a_request_read_after_the_limit_of_a_drain_gets_an_error(front):
    ip, _, port = front._kernel.settings.callers.rpartition(":")
    request = encode_request("POST", "/quotes/0000000000000001", ip, (), JOB)
    # gevent's own connect would run the event loop, which would accept.
    with get_original("socket", "socket")() as caller:
        caller.connect((ip, int(port)))
        caller.sendall(request)
        gevent.spawn(get_original("time", "sleep"), READ_ARRIVED_TIMEOUT_S + 0.2)
        front.drain(0.0)
        assert front.in_flight == 0
        assert caller.recv(4096, socket.MSG_DONTWAIT).startswith(b"HTTP/1.1 504 ")
