from contextlib import ExitStack
from types import SimpleNamespace

import gevent

from primrosehub.border.codec import encode
from primrosehub.core.rows import StoredRow
from primrosehub.kernel.clock import steady_s
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING, SCHEDULER, STORE
from primrosehub.services.ownership import OWNER_KEY, OwnershipService
from testing.builders.cluster import a_peer_card, an_owner_row
from testing.fakes import FakeKernel, FakeMetrics, FakePeering, FakeTasks

ANSWER_DELAY_S = 0.2


class SlowStore:
    """Return the row of the owner late."""

    def __init__(self, row):
        self._row = StoredRow(OWNER_KEY, encode(row), 1)

    def read_one(self, key):
        gevent.sleep(ANSWER_DELAY_S)
        return self._row


# Guards against orders of an owner that another has followed while it read its row.
def test_an_ownership_is_confirmed_as_of_the_request_for_its_row():
    unconfirmed_s = []

    def start_term(epoch):
        unconfirmed_s.append(steady_s() - ownership.confirmed_by_store_at)

    peering = FakePeering(a_peer_card("hub-1"))
    services = {
        STORE: SlowStore(an_owner_row("hub-1")),
        PEERING: peering,
        SCHEDULER: SimpleNamespace(start_term=start_term, settled=False),
        METRICS: FakeMetrics(),
    }
    kernel = FakeKernel(services)
    tasks = FakeTasks()
    kernel.tasks = lambda stack: tasks
    ownership = OwnershipService(kernel)
    with ExitStack() as stack:
        stack.callback(tasks.close)
        ownership.start(stack)
        while not unconfirmed_s:
            gevent.sleep(0.01)
    assert unconfirmed_s[0] >= ANSWER_DELAY_S
