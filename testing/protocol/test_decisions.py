import pytest

from primrosehub.core.members import PeerNews, ShardOwner
from primrosehub.core.rendezvous import choose
from primrosehub.core.table import ABSENT
from primrosehub.services.configuration import is_trusted
from primrosehub.services.membership import LivenessTracker
from primrosehub.services.shards import Drop, NoChange, Release, Take, next_step
from testing.builders import a_member

ME, OTHER = a_member("scheduler-1"), a_member("scheduler-2")
MINE = next(
    s for s in map(str, range(99)) if choose([ME.name, OTHER.name], s) == ME.name
)
THEIRS = next(
    s for s in map(str, range(99)) if choose([ME.name, OTHER.name], s) == OTHER.name
)
BOTH = (ME, OTHER)


def owned_by(member, epoch=3, version=7):
    return ShardOwner(member.incarnation if member else "", epoch), version


@pytest.mark.parametrize(
    ("row", "shard", "live", "held", "step"),
    [
        (None, MINE, BOTH, None, Take(1, ABSENT, released=True)),
        (None, THEIRS, BOTH, None, NoChange()),
        (owned_by(OTHER), MINE, BOTH, None, NoChange()),
        (owned_by(OTHER), MINE, (ME,), None, Take(4, 7, released=False)),
        (owned_by(None), MINE, BOTH, None, Take(4, 7, released=True)),
        (owned_by(ME), MINE, BOTH, 3, NoChange()),
        (owned_by(ME), THEIRS, BOTH, 3, Release()),
        (owned_by(ME), THEIRS, (ME,), 3, NoChange()),
        (owned_by(ME), MINE, BOTH, None, Take(4, 7, released=False)),
        (owned_by(OTHER), MINE, BOTH, 2, Drop()),
        (owned_by(ME, epoch=4), MINE, BOTH, 3, Take(5, 7, released=False)),
    ],
)
def test_next_step_of_a_daemon_for_a_shard(row, shard, live, held, step):
    assert next_step(row, shard, ME, live, held) == step


def test_few_shards_move_when_a_daemon_joins():
    shards = [str(n) for n in range(1000)]
    before = {s: choose(["a", "b", "c"], s) for s in shards}
    after = {s: choose(["a", "b", "c", "d"], s) for s in shards}
    moved = [s for s in shards if before[s] != after[s]]
    assert all(after[s] == "d" for s in moved)


def observed(*reads, at=None):
    """Feed reads of (time, counter) and tell whether the member counts as live."""
    observer = LivenessTracker(take_over_s=6.0, max_gap_s=4.0)
    for now, counter in reads:
        observer.observe([a_member(counter=counter)], now)
    return observer.is_live(a_member(), at if at is not None else reads[-1][0])


def test_a_member_whose_counter_does_not_change_is_dead():
    assert observed((0, 1), (2, 2), (4, 2), (6, 2))
    assert not observed((0, 1), (2, 1), (4, 1), (6, 1))


def test_an_outage_is_no_evidence_of_death():
    assert observed((0, 1), (2, 1), (100, 1), (102, 1), (104, 1))


def news(version=5, table_age_s=60.0):
    return PeerNews("i", version, table_age_s)


@pytest.mark.parametrize(
    ("heard", "known", "trusted"),
    [
        ([news(table_age_s=1.0)], 7, True),
        ([news(version=6, table_age_s=1.0)], 7, False),
        ([news(), news(), news()], 7, True),
        ([news(), news()], 7, False),
        ([], 1, True),
        ([], 2, False),
    ],
)
def test_when_rules_are_trusted_without_the_table(heard, known, trusted):
    assert is_trusted(5, heard, known, stale_s=3.0) is trusted
