"""Provide fakes of the interfaces between services."""

from types import SimpleNamespace

import gevent
from gevent.event import Event

from primrosehub.border.codec import decode, encode
from primrosehub.core.batch import JobState
from primrosehub.core.fleet import Advice
from primrosehub.core.peering import AdviceIs, OwnerRow
from primrosehub.core.resources import total
from primrosehub.core.rows import (
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
    TransactionApplied,
)
from primrosehub.core.rules import Configuration
from primrosehub.core.table import (
    ABSENT,
    Applied,
    Conflicted,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
)
from primrosehub.policy.host_pace import HostPace
from primrosehub.services.names.cluster import PeerSilent
from primrosehub.services.names.v1 import Keys
from primrosehub.services.ownership import OWNER_KEY


class FakeTable:
    """Apply transactions in memory; ``failure_for`` makes a commit fail."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.age_s = 0.0
        # Returns "unavailable", "reply lost" or None for a transaction.
        self.failure_for = lambda transaction: None

    def read(self, *queries):
        return [self._read(query) for query in queries]

    def read_all(self, prefix):
        return [row for key, row in sorted(self.rows.items()) if key.startswith(prefix)]

    def commit(self, transaction):
        failure = self.failure_for(transaction)
        if failure == "unavailable":
            raise TableUnavailable
        for expect in transaction.expects:
            row = self.rows.get(expect.key)
            if (row.version if row else ABSENT) != expect.version:
                return Conflicted((expect.key,))
        self.version += 1
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, write.value, self.version)
        if failure == "reply lost":
            raise TableOutcomeUnknown
        return Applied(self.version)

    def _read(self, query):
        if isinstance(query, Keys):
            return [self.rows[key] for key in query.keys if key in self.rows]
        return self.read_all(query.prefix)[: query.limit]


class FakeConfiguration:
    def __init__(self, config=None, trusted=True):
        self.current = config or Configuration()
        self.trusted = trusted


class FakeMetrics:
    def count(self, name, amount=1.0, **labels):
        pass

    def observe(self, name, seconds, **labels):
        pass

    def byte_counter(self, part):
        return lambda size: None

    def gauge(self, name, value, **labels):
        pass


class FakeKernel:
    """Find the services that a test passes in."""

    def __init__(self, services, settings=None):
        self.settings = settings
        self.stopping = Event()
        self._services = {name.name: service for name, service in services.items()}

    def find(self, name):
        return self._services[name.name]

    def has(self, name):
        return name.name in self._services


class FakeIntake:
    """Answer no request until ``released`` is set."""

    def __init__(self):
        self.released = Event()

    def submit(self, *request):
        self.released.wait()

    def cancel(self, *request):
        self.released.wait()

    def waiting(self, *request):
        self.released.wait()
        return 0

    def state(self, *request):
        self.released.wait()
        return JobState.QUEUED


class FakeAdvising:
    """Block each call for advice until ``answer`` allows all hosts that it names."""

    def __init__(self, callers=1, staying=None):
        self.available_daemons = callers
        self.staying_daemons = callers if staying is None else staying
        self.calls = []
        self.hosts_asked = set()
        self._pending = {}

    @property
    def under_way(self):
        return list(self._pending)

    def advise(self, job, occurrence, step, hosts, cost_s):
        self.calls.append(job)
        self.hosts_asked.update(hosts)
        self._pending[job] = Event()
        self._pending[job].wait()
        del self._pending[job]
        return Advice({host: f"ticket-{host}" for host in hosts}, 2.0)

    def answer(self, job):
        self._pending[job].set()


class FakeHostSession:
    """Accept starts and report the resources that the assigned tasks use."""

    def __init__(self, info):
        self.info = info
        self.host = info.host
        self.assigned_tasks = {}
        self.trust = SimpleNamespace(risk=0.0)
        self.pace = HostPace()

    @property
    def used(self):
        return total([task.step.spec.need for task in self.assigned_tasks])

    def accepts_starts(self, now, listing_grace_s):
        return True

    def start(self, task):
        pass


class FakeTasks:
    """Run tasks without the supervision of a task group."""

    def __init__(self):
        self._running = []

    def spawn(self, name, function, *args):
        self._running.append(gevent.spawn(function, *args))

    def close(self):
        gevent.killall(self._running)


class FakeOwnerStore:
    """Return the row of the owner and apply its writes, or lose what is said to it."""

    reached_directly = True

    def __init__(self, row):
        self.row = row
        self.version = 1
        self.lost = False

    def read_one(self, key):
        if self.lost:
            raise StoreRefused("away")
        return StoredRow(OWNER_KEY, encode(self.row), self.version)

    def commit(self, transaction):
        if self.lost:
            raise StoreOutcomeUnknown("away")
        self.row = decode(OwnerRow, transaction.writes[0].value)
        self.version += 1
        return TransactionApplied(self.version)


class BlockedOwnership:
    """Delay each commit until ``may_commit`` is set; refuse it if ``refuse`` is set."""

    def __init__(self):
        self.may_commit, self.refuse = Event(), False
        self.commits = []

    def commit(self, transaction):
        self.may_commit.wait()
        if self.refuse:
            raise StoreRefused("no")
        self.commits.append(transaction)


class FakePeering:
    """Answer calls for advice with none allowed, but for silent peers."""

    def __init__(self, own, pongs=(), silent=()):
        self.own_card = own
        self.called = []
        self.pongs = pongs
        self._silent = silent

    def register_handler(self, kind, handler):
        pass

    def recent_pongs(self, within_s):
        return self.pongs

    def answers(self, within_s):
        return self.pongs

    def ping_all_often(self, often):
        pass

    def ping_now(self):
        pass

    def call(self, name, message, timeout_s):
        self.called.append(name)
        if name in self._silent:
            raise PeerSilent(f"{name} is silent")
        gevent.sleep(0)
        return AdviceIs({}, 1.0)
