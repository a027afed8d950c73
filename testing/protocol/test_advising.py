"""Which daemons call the advice service."""

from contextlib import ExitStack
from types import SimpleNamespace

import gevent

from primrosehub.core.fleet import Advice
from primrosehub.services.advising import AdvisingService
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING
from testing.builders.cluster import a_heard_pong, a_peer_card
from testing.fakes import FakeKernel, FakeMetrics, FakePeering

STAYING = a_heard_pong("staying", 0.1).pong
LEAVING = a_heard_pong("leaving", 0.1, leaving=True).pong


def allow_no_host(*_):
    gevent.sleep(0)
    return Advice({}, 1.0)


def advising_through(peering):
    services = {PEERING: peering, METRICS: FakeMetrics()}
    service = AdvisingService(FakeKernel(services, SimpleNamespace(advice="")))
    service.start(ExitStack())
    service._client = SimpleNamespace(advise=allow_no_host)
    return service


def ask(service, calls):
    """Make calls at the same time and return the answers."""
    tasks = [
        gevent.spawn(service.advise, "job", 0, 0, ["h0"], 0.01) for _ in range(calls)
    ]
    return [task.get() for task in tasks]


def test_a_daemon_that_leaves_calls_until_it_ends():
    peering = FakePeering(a_peer_card("own"), (LEAVING, STAYING))
    service = advising_through(peering)
    assert (service.available_daemons, service.staying_daemons) == (3, 2)
    ask(service, 3)
    assert peering.called == ["staying", "leaving"]


def test_no_more_calls_go_through_a_daemon_that_has_ended():
    peering = FakePeering(a_peer_card("own"), (LEAVING,), silent=("leaving",))
    service = advising_through(peering)
    assert service.available_daemons == 2
    ask(service, 2)
    ask(service, 2)
    assert peering.called == ["leaving"]


def test_a_call_lost_with_its_daemon_is_made_by_another():
    peering = FakePeering(a_peer_card("own"), (LEAVING,), silent=("leaving",))
    answers = ask(advising_through(peering), 2)
    assert peering.called == ["leaving"]
    assert answers == [Advice({}, 1.0)] * 2


def test_a_daemon_that_started_again_calls_although_a_call_was_lost():
    peering = FakePeering(a_peer_card("own"), (LEAVING,), silent=("leaving",))
    service = advising_through(peering)
    ask(service, 2)
    peering.pongs = (a_heard_pong("leaving", 0.1, incarnation="next").pong,)
    assert service.available_daemons == 2
