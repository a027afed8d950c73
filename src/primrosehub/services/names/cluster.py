"""Names and interfaces of the hub daemon's services."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from primrosehub.core.batch import AcceptedJob, BatchSpec, JobState
from primrosehub.core.clusterconfig import ClusterConfig
from primrosehub.core.fleet import Advice, WitnessAnswers
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
    """Call the platform's row store, directly or through a peer."""

    @property
    def reached_directly(self) -> bool:
        """Return whether the store answered this daemon's last direct call."""

    @property
    def unreachable_s(self) -> float:
        """Return for how long no known daemon has reached the store, 0 if one does."""

    def commit(self, transaction: RowsTransaction) -> RowsOutcome:
        """Apply a transaction; raise StoreRefused or StoreOutcomeUnknown."""

    def read_one(self, key: RowKey) -> StoredRow | None:
        """Return a row or None; raise StoreRefused."""

    def read_part(self, table: str, part: str) -> RowsPage:
        """Return all rows of a part; raise StoreRefused."""

    def parts(self, table: str) -> list[str]:
        """Return the parts of a table; raise StoreRefused."""

    def changes(self, table: str, after: int, wait_s: float) -> RowsPage:
        """Return the changes after a version, waiting up to ``wait_s`` for one.

        Raise StoreRefused or HistoryLost.
        """


class ConfigFollower(Protocol):
    """Hold the newest version of the operators' configuration known to this daemon."""

    @property
    def current(self) -> ClusterConfig:
        """Return the configuration in force."""

    def offer(self, text: bytes, source: str) -> None:
        """Apply a configuration if it is newer than the current one."""


class Peering(Protocol):
    """Track the other daemons and exchange messages with them."""

    @property
    def own_card(self) -> PeerCard:
        """Return this daemon's own card."""

    def call(self, name: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Return a peer's answer; raise PeerSilent."""

    def register_handler(
        self, kind: type[PeerMessage], handler: Callable[..., PeerMessage]
    ) -> None:
        """Register the function that answers all messages of a kind."""

    def recent_pongs(self, within_s: float) -> Sequence[Pong]:
        """Return the last pong of each peer heard in the last ``within_s`` seconds."""

    def reachable_pongs(self, within_s: float) -> Sequence[ReceivedPong]:
        """Return recent pongs with ages, without peers that now refuse connections."""

    def refused_s(self, name: str) -> float:
        """Return for how long a peer has been refusing connections, 0 if it is not."""

    def watch_closely(self, name: str) -> None:
        """Ping this peer at the short interval, in place of the peer watched before."""

    def ping_now(self) -> None:
        """Ping all peers immediately, to spread a change of this daemon's state."""

    def wait_for_pong(self, timeout_s: float) -> None:
        """Wait until a peer is heard, for at most ``timeout_s``."""


class PeerSilent(Exception):
    """Signal that a peer gave no answer."""


class Ownership(Protocol):
    """Elect the daemon that owns the worker hosts and jobs."""

    @property
    def known_owner(self) -> OwnerSeen:
        """Return the owner of the highest known epoch."""

    @property
    def is_owner(self) -> bool:
        """Return whether this daemon is the owner."""

    @property
    def slow(self) -> bool:
        """Return whether this daemon's processor is too slow to own the jobs."""

    @property
    def confirmed_by_store_at(self) -> float:
        """Return the send time of the last store call that confirmed the ownership."""

    def may_order(self, epoch: int) -> bool:
        """Return whether this epoch was confirmed recently enough to send orders."""

    def commit(self, transaction: RowsTransaction) -> None:
        """Apply the owner's transaction exactly once.

        Raise OwnershipLost or StoreRefused.
        """

    def confirm(self) -> None:
        """Confirm the ownership with a read of the store; raise StoreRefused."""

    def step_down(self, epoch: int, reason: str) -> None:
        """Give up the ownership of this epoch, because a higher epoch exists."""

    def release(self, deadline: float) -> None:
        """Give up the ownership once a peer can take over, or before the deadline.

        Until then this daemon goes on as the owner, or stands by to become it.
        """

    def stop_standing_by(self) -> None:
        """Let ``release`` return now unless this daemon is the owner."""


class OwnershipLost(Exception):
    """Signal that this daemon is not, or is no longer, the owner."""


class Scheduler(Protocol):
    """Run the jobs while this daemon is their owner."""

    @property
    def settled(self) -> bool:
        """Return whether nothing that earlier owners started is unaccounted for."""

    def witness_answers(self, within_s: float) -> WitnessAnswers:
        """Return which hosts answered a call sent in the last ``within_s`` s."""

    def start_term(self, epoch: int) -> None:
        """Begin a term of ownership."""

    def end_term(self) -> None:
        """End the term immediately."""

    def state_of(self, job: str, team: str) -> JobState | None:
        """Return a job's state, None if unknown; raise LookupError without a term."""

    def waiting_in(self, queue: str) -> int:
        """Return how many jobs of a queue have not started.

        Raise LookupError without a term.
        """

    def add_jobs(self, jobs: Sequence[AcceptedJob]) -> None:
        """Add jobs that are already stored; raise LookupError without a term."""

    def cancel(self, job: str) -> None:
        """Apply a stored cancellation; raise LookupError without a term."""

    def flush(self) -> None:
        """Store all progress that is not yet stored; raise StoreRefused."""


class Advising(Protocol):
    """Obtain advice, distributing the calls over all daemons."""

    @property
    def available_daemons(self) -> int:
        """Return how many daemons can currently call the advice service."""

    @property
    def staying_daemons(self) -> int:
        """Return how many of the available daemons are not leaving."""

    def advise(
        self, job: str, occurrence: int, step: int, hosts: list[str], cost_s: float
    ) -> Advice | None:
        """Return advice, or None if none could be obtained."""


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
        """Return how many jobs of a queue have not started."""


STORE: ServiceName[Store] = ServiceName("store")
CLUSTER_CONFIG: ServiceName[ConfigFollower] = ServiceName("cluster-config")
PEERING: ServiceName[Peering] = ServiceName("peering")
OWNERSHIP: ServiceName[Ownership] = ServiceName("ownership")
SCHEDULER: ServiceName[Scheduler] = ServiceName("scheduler")
ADVISING: ServiceName[Advising] = ServiceName("advising")
INTAKE: ServiceName[Intake] = ServiceName("intake")
CALLER_FRONT: ServiceName[object] = ServiceName("caller-front")
HUB_OPS: ServiceName[object] = ServiceName("hub-ops")
