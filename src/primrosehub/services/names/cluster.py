"""The names of the hub daemon's services and the interface behind each."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from primrosehub.core.batch import AcceptedJob, BatchSpec, JobState
from primrosehub.core.clusterconfig import ClusterConfig
from primrosehub.core.fleet import Advice
from primrosehub.core.peering import (
    OwnerSeen,
    PeerCard,
    PeerMessage,
    Pong,
    ReceivedPong,
)
from primrosehub.core.rows import (
    RowKey,
    RowsOutcome,
    RowsPage,
    RowsTransaction,
    StoredRow,
)
from primrosehub.kernel import ServiceName


class Store(Protocol):
    """Reach the platform's row store, directly or through a peer."""

    @property
    def reached_directly(self) -> bool:
        """Tell whether the store answered this daemon's last direct call."""

    @property
    def unreachable_s(self) -> float:
        """Return how long no daemon known here reached the store, 0 if one does."""

    def commit(self, transaction: RowsTransaction) -> RowsOutcome:
        """Apply a transaction; raise StoreRefused or StoreOutcomeUnknown."""

    def read_one(self, key: RowKey) -> StoredRow | None:
        """Return a row or None; raise StoreRefused."""

    def read_part(self, table: str, part: str) -> RowsPage:
        """Return all rows of a part; raise StoreRefused."""

    def parts(self, table: str) -> list[str]:
        """Return the parts of a table; raise StoreRefused."""

    def changes(self, table: str, after: int, wait_s: float) -> RowsPage:
        """Return the changes after a version; raise StoreRefused or HistoryLost."""


class ConfigFollower(Protocol):
    """Hold the highest version of the operators' configuration seen here."""

    @property
    def current(self) -> ClusterConfig:
        """Return the configuration in force."""

    def offer(self, text: bytes, source: str) -> None:
        """Take over a configuration that is newer than the current one."""


class Peering(Protocol):
    """Know the other daemons and exchange messages with them."""

    @property
    def own_card(self) -> PeerCard:
        """Return this daemon's own card."""

    def call(self, name: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Return a peer's answer; raise PeerSilent."""

    def register_handler(
        self, kind: type[PeerMessage], handler: Callable[..., PeerMessage]
    ) -> None:
        """Let a function answer all messages of a kind."""

    def recent_pongs(self, within_s: float) -> Sequence[Pong]:
        """Return the last pong of each peer that answered within the time."""

    def reachable_pongs(self, within_s: float) -> Sequence[ReceivedPong]:
        """Return the same with ages, without peers that refuse connections by now."""

    def refused_s(self, name: str) -> float:
        """Return for how long a peer has refused connections, 0 if it does not."""

    def watch_closely(self, name: str) -> None:
        """Ping this peer at the short period, and no peer watched so before."""

    def ping_now(self) -> None:
        """Ping all peers at once, to spread a changed belief."""


class PeerSilent(Exception):
    """Say that a peer gave no answer."""


class Ownership(Protocol):
    """Decide which daemon owns the worker hosts and jobs."""

    @property
    def known_owner(self) -> OwnerSeen:
        """Return the owner of the highest known epoch."""

    @property
    def is_owner(self) -> bool:
        """Tell whether this daemon owns them."""

    @property
    def slow(self) -> bool:
        """Tell whether this daemon's processor is too slow to own the jobs."""

    @property
    def confirmed_by_store_at(self) -> float:
        """Return when the last store call that confirmed this ownership was sent."""

    def may_order(self, epoch: int) -> bool:
        """Tell whether this epoch was confirmed recently enough to send orders."""

    def commit(self, transaction: RowsTransaction) -> None:
        """Apply an owner's transaction once; raise OwnershipLost or StoreRefused."""

    def confirm(self) -> None:
        """Confirm the ownership from the store now."""

    def step_down(self, epoch: int, reason: str) -> None:
        """Take note that an epoch higher than this one exists."""

    def release(self) -> None:
        """Give the ownership up, so that a peer takes over at once."""


class OwnershipLost(Exception):
    """Say that another daemon owns the jobs now."""


class Scheduler(Protocol):
    """Run the jobs while this daemon is their owner."""

    def start_term(self, epoch: int) -> None:
        """Begin a term of ownership."""

    def end_term(self) -> None:
        """End the term, at once."""

    def state_of(self, job: str, team: str) -> JobState | None:
        """Return a known job's state, else None; raise LookupError without a term."""

    def waiting_in(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun; raise LookupError."""

    def add_jobs(self, jobs: Sequence[AcceptedJob]) -> None:
        """Take note of stored jobs; raise LookupError without a term."""

    def cancel(self, job: str) -> None:
        """Take note of a stored cancellation; raise LookupError without a term."""

    def flush(self) -> None:
        """Store all progress that is not stored yet; raise StoreRefused."""


class Advising(Protocol):
    """Obtain advice, spreading the calls over all daemons."""

    @property
    def available_daemons(self) -> int:
        """Return how many daemons can make calls at the moment."""

    def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], cost_s: float
    ) -> Advice | None:
        """Return advice, or None if none was to be had."""


class Intake(Protocol):
    """Accept, read and cancel jobs on behalf of callers; raise HubError."""

    def submit(
        self, host: str, path: str, secret: str | None, spec: BatchSpec, wait_s: float
    ) -> None:
        """Store a job once."""

    def state(
        self, host: str, path: str, secret: str | None, wait_s: float
    ) -> JobState:
        """Return a job's state."""

    def cancel(self, host: str, path: str, secret: str | None, wait_s: float) -> None:
        """Store a job's cancellation."""

    def waiting(self, host: str, path: str, secret: str | None, wait_s: float) -> int:
        """Return how many jobs of a queue have not begun."""


STORE: ServiceName[Store] = ServiceName("store")
CLUSTER_CONFIG: ServiceName[ConfigFollower] = ServiceName("cluster-config")
PEERING: ServiceName[Peering] = ServiceName("peering")
OWNERSHIP: ServiceName[Ownership] = ServiceName("ownership")
SCHEDULER: ServiceName[Scheduler] = ServiceName("scheduler")
ADVISING: ServiceName[Advising] = ServiceName("advising")
INTAKE: ServiceName[Intake] = ServiceName("intake")
CALLER_FRONT: ServiceName[object] = ServiceName("caller-front")
HUB_OPS: ServiceName[object] = ServiceName("hub-ops")
