"""Which hosts tell an owner that earlier owners have stopped, and who changes them."""

from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event

from primrosehub.border.codec import decode, encode
from primrosehub.core.peering import OwnerRow
from primrosehub.core.rows import StoredRow
from primrosehub.policy.isolation import CONFIRMATION_VALID_S, UNCONFIRMED_LIMIT_S
from primrosehub.services._job_book import JobBook
from primrosehub.services._job_rows import WITNESSES_KEY
from primrosehub.services._progress_writer import ProgressWriter
from primrosehub.services._witnesses import Witnesses
from testing.fakes import BlockedOwnership, FakeMetrics

STORED = ("h1", "h2", "h3")
BEGAN_AT = 100.0


def stored_row(value):
    return StoredRow(WITNESSES_KEY, value, 7)


def loaded_witnesses(hosts=STORED):
    witnesses = Witnesses(BEGAN_AT)
    witnesses.load(stored_row(encode(list(hosts))), ("other",))
    return witnesses


def a_session(reached=True):
    info = SimpleNamespace(address="10.0.0.1:80")
    ends = {"last_received_end": 0, "last_stored_end": 0, "ends_stored": Event()}
    return SimpleNamespace(info=info, reached=reached, enrolled=False, **ends)


def a_term(settled, sessions):
    return SimpleNamespace(
        book=JobBook(1),
        sessions=sessions,
        ownership=BlockedOwnership(),
        metrics=FakeMetrics(),
        wake=lambda: None,
        settled=settled,
        witnesses=loaded_witnesses(),
    )


def written_witnesses(term):
    return [
        row.value
        for transaction in term.ownership.commits
        for row in transaction.writes
        if row.key == WITNESSES_KEY
    ]


# Guards against taking an earlier owner for stopped by hosts that may answer it.
@pytest.mark.parametrize(
    ("informed", "stopped"),
    [((), False), (("h1",), False), (("h1", "other"), False), (("h1", "h3"), True)],
)
def test_only_witnesses_that_answered_tell_that_earlier_owners_stopped(
    informed, stopped
):
    witnesses = loaded_witnesses()
    for host in informed:
        witnesses.note_informed(host, BEGAN_AT + 1.0)
    waits_s = witnesses.earlier_orders_end_at - BEGAN_AT
    assert (waits_s == CONFIRMATION_VALID_S + 1.0) is stopped
    assert (waits_s > UNCONFIRMED_LIMIT_S) is not stopped


# Guards against new witnesses while an earlier owner may rely on the old ones.
@pytest.mark.parametrize(
    ("settled", "written"), [(False, []), (True, [encode(["h1", "h4"])])]
)
def test_witnesses_change_only_once_the_term_is_settled(settled, written):
    term = a_term(settled, {"h1": a_session(), "h4": a_session()})
    term.ownership.may_commit.set()
    ProgressWriter(term).flush()
    assert written_witnesses(term) == written


# Guards against witnesses that never answer, such as odd entries of the host list.
def test_a_host_that_was_never_reached_is_no_witness():
    term = a_term(True, {"h1": a_session(), "odd": a_session(reached=False)})
    term.ownership.may_commit.set()
    ProgressWriter(term).flush()
    assert written_witnesses(term) == [encode(["h1"])]


# Guards against a take-over with witnesses of whom an earlier owner knows nothing.
def test_a_take_over_reads_the_stored_witnesses_and_not_the_roster():
    assert loaded_witnesses().stored == frozenset(STORED)


# Guards against a wait that a row of an older build, or an odd one, makes too short.
@pytest.mark.parametrize(
    ("row", "roster", "stored"),
    [
        (None, ("h1",), frozenset({"h1"})),
        (None, None, None),
        (stored_row(b"7"), ("h1",), None),
        (stored_row(b"\xff"), ("h1",), None),
    ],
)
def test_witnesses_without_a_readable_row_are_the_roster_or_unknown(
    row, roster, stored
):
    witnesses = Witnesses(BEGAN_AT)
    witnesses.load(row, roster)
    assert witnesses.stored == stored


# Guards against an owner that relies on witnesses that may be the stored ones no more.
@pytest.mark.parametrize("refuse", [False, True])
def test_an_owner_in_doubt_of_its_witnesses_needs_both_groups(refuse):
    term = a_term(True, {"h4": a_session()})
    writer = gevent.spawn(ProgressWriter(term).flush)
    gevent.sleep(0)
    both = (frozenset(STORED), frozenset({"h4"}))
    assert term.witnesses.electorates == both
    term.ownership.refuse = refuse
    term.ownership.may_commit.set()
    gevent.wait([writer])
    assert term.witnesses.electorates == ((both[0],) if refuse else (both[1],))


# Guards against a row of an older build, which names voters, that nobody can read.
def test_the_owner_row_of_a_build_with_voters_is_read():
    row = b'{"epoch":3,"incarnation":"x","name":"hub-1","number":4,"voters":["hub-1"]}'
    assert decode(OwnerRow, row) == OwnerRow(3, "x", "hub-1", 4)
