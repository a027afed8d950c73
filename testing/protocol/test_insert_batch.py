import gevent
import pytest
from gevent.event import Event

from primrosehub.core.rows import (
    RowKey,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
    TransactionApplied,
    TransactionConflicted,
)
from primrosehub.services._insert_batch import (
    PARALLEL_TRANSACTIONS,
    InsertBatch,
    Inserted,
    NotInserted,
)


class FakeStore:
    """Keep inserted rows; each commit raises the next of ``failures``.

    StoreRefused is raised before the rows are stored, other failures after it.
    """

    def __init__(self, *failures, unreachable_s=0.0):
        self.rows = {}
        self.unreachable_s = unreachable_s
        self.calls = 0
        self.sizes = []
        self.failures = list(failures)

    def commit(self, transaction):
        self.calls += 1
        gevent.sleep(0.01)
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, StoreRefused):
            raise failure
        self.sizes.append(len(transaction.writes))
        existing = [e.key for e in transaction.expects if e.key in self.rows]
        if existing:
            rows = tuple(StoredRow(key, self.rows[key], 1) for key in existing)
            return TransactionConflicted(rows)
        self.rows.update({write.key: write.value for write in transaction.writes})
        if failure is not None:
            raise failure
        return TransactionApplied(1)


@pytest.fixture
def insert():
    tasks = []

    def start(store, *ids, value=b"new", refuse_s=0.2, give_up_s=0.6):
        batch = InsertBatch(store)
        tasks.extend(gevent.spawn(batch.run) for _ in range(PARALLEL_TRANSACTIONS))
        calls = [
            gevent.spawn(batch.insert, key_of(name), value, refuse_s, give_up_s)
            for name in ids
        ]
        gevent.joinall(calls)
        return [call.value for call in calls]

    yield start
    gevent.killall(tasks)


def key_of(name):
    return RowKey("job", "hub-1", name)


def test_rows_that_arrive_together_share_a_transaction(insert):
    store = FakeStore()
    assert insert(store, "a", "b", "c") == [Inserted(None)] * 3
    assert store.sizes == [3]


def test_an_existing_row_is_returned_and_blocks_no_other_insert(insert):
    store = FakeStore()
    store.rows[key_of("a")] = b"old"
    assert insert(store, "a", "b") == [Inserted(b"old"), Inserted(None)]


def test_an_insert_whose_response_is_lost_finds_its_own_row(insert):
    store = FakeStore(StoreOutcomeUnknown("lost"))
    assert insert(store, "a") == [Inserted(b"new")]
    assert store.rows == {key_of("a"): b"new"}


def test_a_refused_insert_is_reported_as_certainly_not_stored(insert):
    store = FakeStore(*[StoreRefused("busy") for _ in range(20)])
    (result,) = insert(store, "a")
    assert result == NotInserted(False, "busy")
    assert store.rows == {}


def test_an_insert_with_unknown_outcome_is_never_reported_as_certainly_not_stored(
    insert,
):
    store = FakeStore(
        StoreOutcomeUnknown("lost"), *[StoreRefused("busy") for _ in range(20)]
    )
    (result,) = insert(store, "a")
    assert result.unknown


def test_the_same_row_twice_in_one_batch_is_stored_once(insert):
    store = FakeStore()
    assert insert(store, "a", "a") == [Inserted(None), Inserted(b"new")]


def test_an_insert_is_not_attempted_while_no_daemon_reaches_the_store(insert):
    store = FakeStore(unreachable_s=0.5)
    (result,) = insert(store, "a")
    assert isinstance(result, NotInserted)
    assert not result.unknown
    assert store.calls == 0


def test_waiting_inserts_are_refused_when_the_store_becomes_unreachable(insert):
    class BecomesUnreachable(FakeStore):
        def commit(self, transaction):
            self.unreachable_s = 0.1
            return super().commit(transaction)

    store = BecomesUnreachable(StoreRefused("gone"))
    results = insert(store, "a", "b", refuse_s=60.0, give_up_s=60.0)
    assert [result.unknown for result in results] == [False, False]
    assert store.calls == 1


def test_an_insert_is_sent_while_an_earlier_one_is_unanswered():
    class FirstHangs(FakeStore):
        def commit(self, transaction):
            if transaction.writes[0].key == key_of("a"):
                second_sent.wait()
            second_sent.set()
            return super().commit(transaction)

    second_sent = Event()
    batch = InsertBatch(FirstHangs())
    tasks = [gevent.spawn(batch.run) for _ in range(PARALLEL_TRANSACTIONS)]
    first = gevent.spawn(batch.insert, key_of("a"), b"new", 60.0, 60.0)
    gevent.sleep(0.05)
    assert batch.insert(key_of("b"), b"new", 2.0, 2.0) == Inserted(None)
    assert first.get() == Inserted(None)
    gevent.killall(tasks)
