"""Which peers tell an owner that earlier owners have stopped."""

from contextlib import ExitStack, contextmanager
from types import SimpleNamespace

import gevent
import pytest

from primrosehub.core.peering import OwnerRow
from primrosehub.policy.isolation import CONFIRMATION_VALID_S, MANY_MISSING_LIMIT_S
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING, SCHEDULER, STORE
from primrosehub.services.ownership import OwnershipService
from testing.builders.cluster import a_peer_card, pongs_that_know
from testing.fakes import (
    FakeKernel,
    FakeMetrics,
    FakeOwnerStore,
    FakePeering,
    FakeTasks,
)

OWN = a_peer_card("hub-1")
VOTERS = ("hub-1", "hub-2", "hub-3")
CHECKS_S = 0.35  # some checks of the owner's own term


def own_row(epoch=2):
    return OwnerRow(epoch, OWN.incarnation, OWN.name, voters=VOTERS)


@contextmanager
def running(store, pongs, settled=False):
    """Run the service beside peers that were heard with these pongs."""
    peering = FakePeering(OWN, pongs)
    peering.reachable_pongs = lambda within_s: []
    peering.refused_s = lambda name: 0.0
    peering.watch_closely = lambda name: None
    services = {
        STORE: store,
        PEERING: peering,
        SCHEDULER: SimpleNamespace(
            start_term=lambda epoch: None, end_term=lambda: None, settled=settled
        ),
        METRICS: FakeMetrics(),
    }
    kernel, tasks = FakeKernel(services), FakeTasks()
    kernel.tasks = lambda stack: tasks
    ownership = OwnershipService(kernel)
    with ExitStack() as stack:
        stack.callback(tasks.close)
        ownership.start(stack)
        gevent.sleep(CHECKS_S)
        assert ownership.is_owner
        yield ownership, peering


# Guards against taking an earlier owner for stopped by voters that may confirm it.
@pytest.mark.parametrize(
    ("epoch", "incarnation", "stopped"),
    [(1, "earlier", False), (2, OWN.incarnation, True)],
)
def test_only_voters_that_know_the_epoch_tell_that_earlier_owners_stopped(
    epoch, incarnation, stopped
):
    pongs = pongs_that_know(VOTERS[1:], epoch, incarnation)
    with running(FakeOwnerStore(own_row()), pongs) as (ownership, _):
        waits_s = ownership.earlier_orders_end_at - ownership.confirmed_by_store_at
    assert (waits_s < MANY_MISSING_LIMIT_S) is stopped


# Guards against new voters while an earlier owner may rely on the old ones.
@pytest.mark.parametrize(
    ("settled", "voters"), [(False, VOTERS), (True, (*VOTERS, "hub-4"))]
)
def test_voters_change_only_once_the_term_is_settled(settled, voters):
    store = FakeOwnerStore(own_row())
    with running(store, pongs_that_know(["hub-4"], 2, OWN.incarnation), settled):
        assert store.row.voters == voters


# Guards against a take-over with voters of whom an earlier owner knows nothing.
def test_a_take_over_keeps_the_voters():
    store = FakeOwnerStore(OwnerRow(1, "", "hub-9", voters=VOTERS))
    with running(store, pongs_that_know(["hub-4"], 1, "")):
        assert (store.row.epoch, store.row.voters) == (2, VOTERS)


# Guards against an owner that relies on voters that may be the stored ones no more.
def test_an_owner_in_doubt_of_its_voters_needs_both_groups():
    store = FakeOwnerStore(own_row())
    with running(
        store, pongs_that_know(VOTERS[1:], 2, OWN.incarnation), True
    ) as started:
        ownership, peering = started
        store.lost = True
        peering.pongs = pongs_that_know(
            [f"hub-{n}" for n in range(2, 6)], 2, OWN.incarnation
        )
        peering.answers = lambda within_s: pongs_that_know(
            ["hub-2"], 2, OWN.incarnation
        )
        gevent.sleep(CONFIRMATION_VALID_S + CHECKS_S)
        assert not ownership.may_order(2)


# Guards against counting who knew an earlier epoch of the same daemon.
def test_a_daemon_that_takes_over_again_waits_for_the_voters_again():
    store = FakeOwnerStore(own_row())
    pongs = pongs_that_know(VOTERS[1:], 2, OWN.incarnation)
    with running(store, pongs) as (ownership, peering):
        store.row, store.version = OwnerRow(3, "", "hub-9", voters=VOTERS), 9
        peering.pongs = pongs_that_know(VOTERS[1:], 3, "")
        gevent.sleep(2 * CHECKS_S)
        assert (ownership.is_owner, store.row.epoch) == (True, 4)
        waits_s = ownership.earlier_orders_end_at - ownership.confirmed_by_store_at
    assert waits_s > MANY_MISSING_LIMIT_S
