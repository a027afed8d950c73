"""Names and interfaces of the services behind the /v1 interface."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from primrosehub.core.members import Member, PeerNews, ShardOwner, ShardSummary
from primrosehub.core.platform import Host
from primrosehub.core.resources import Resources
from primrosehub.core.rules import Access, Configuration
from primrosehub.core.table import CommitOutcome, Row, Transaction
from primrosehub.core.work import Job, JobSpec
from primrosehub.kernel import ServiceName


@dataclass(frozen=True, slots=True)
class Prefix:
    """Query the rows whose key starts with a prefix, in order.

    Only keys greater than ``after`` are returned.
    """

    prefix: str
    after: str = ""
    limit: int = 500


@dataclass(frozen=True, slots=True)
class Keys:
    """Query the rows with these keys."""

    keys: tuple[str, ...]


class Table(Protocol):
    """Call the platform's transactional table service."""

    def read(self, *queries: Prefix | Keys) -> list[list[Row]]:
        """Return the rows of each query; raise TableUnavailable."""

    def read_all(self, prefix: str) -> list[Row]:
        """Return all rows under a prefix, page by page; raise TableUnavailable."""

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; raise TableUnavailable or TableOutcomeUnknown."""

    @property
    def age_s(self) -> float:
        """Return the time since the last answered read was sent."""


class Objects(Protocol):
    """Call the platform's object store."""

    def put(self, name: str, content: bytes) -> None:
        """Store an object; raise HubError if the store is unavailable."""

    def get(self, name: str) -> bytes | None:
        """Return an object or None; raise HubError if the store is unavailable."""


class HostList(Protocol):
    """Hold the platform's last known list of hosts."""

    def hosts(self) -> Mapping[str, Host]:
        """Return the hosts by name."""


@dataclass(frozen=True, slots=True)
class CellView:
    """Hold the members and shards as of one confirmed read of the table.

    ``number`` increases with each view. ``confirmed_at`` is the monotonic time in
    seconds at which the read was sent. ``live`` are the members that renew their row,
    ``known`` all that have a row. ``owners`` maps each shard to its owner and the
    version of its row.
    """

    number: int = 0
    confirmed_at: float = float("-inf")
    live: tuple[Member, ...] = ()
    known: tuple[Member, ...] = ()
    owners: Mapping[str, tuple[ShardOwner, int]] = field(default_factory=dict)


class Membership(Protocol):
    """Renew this daemon's membership and track the other members."""

    @property
    def own_member(self) -> Member:
        """Return this daemon's own row."""

    @property
    def view(self) -> CellView:
        """Return the last confirmed view."""

    def next_view(self, after: int, timeout_s: float) -> CellView:
        """Return a view newer than ``after``, or the current one at the timeout."""

    def refresh(self) -> None:
        """Trigger an immediate read of the table."""

    def leave(self) -> None:
        """Announce that this daemon is leaving."""


class ConfigurationService(Protocol):
    """Hold the newest configuration version known to this daemon."""

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""

    @property
    def trusted(self) -> bool:
        """Return whether this daemon cannot have missed a newer version."""

    def offer(self, version: int, text: str) -> None:
        """Apply a version received from a peer, if it is newer."""

    def check_now(self) -> None:
        """Trigger an immediate read of the version in the table."""


class Peers(Protocol):
    """Exchange news with the other daemons."""

    def summaries(self) -> Mapping[str, ShardSummary]:
        """Return the latest known summary of each shard."""

    def publish(self, summaries: Sequence[ShardSummary]) -> None:
        """Set the summaries of this daemon's own shards."""

    def notify_inbox(self, shard: str) -> None:
        """Tell the owner of a shard immediately that its inbox has changed."""

    def notify_shards(self) -> None:
        """Tell every scheduler immediately that shard rows have changed."""

    def recent_news(self, within_s: float) -> Sequence[PeerNews]:
        """Return the last news of each peer heard in the last ``within_s`` seconds."""


class Shards(Protocol):
    """Decide which shards this daemon owns."""

    def release_all(self) -> None:
        """Release all shards to other daemons."""


class Dispatch(Protocol):
    """Run the jobs of the shards that this daemon owns."""

    def acquire(self, shard: str, epoch: int, version: int, released: bool) -> None:
        """Start acting as the owner of a shard."""

    def release(self, shard: str) -> None:
        """Stop acting as the owner of a shard immediately."""

    def inbox_changed(self, shard: str) -> None:
        """Read a shard's inbox now."""


class GrantLedger(Protocol):
    """Keep the part of each team's limit that is granted to each shard."""

    def load(self, shard: str) -> None:
        """Read the shard's grants; raise TableUnavailable."""

    def granted(self, shard: str, team: str) -> Resources:
        """Return the amount that the shard may run for the team."""

    def request(self, shard: str, team: str, needed: Resources) -> None:
        """Raise the grant to the needed amount, as far as the team's limit allows."""

    def shrink(self, shard: str, team: str, used: Resources) -> None:
        """Give the unused part of the grant back to the team's limit."""


class Admission(Protocol):
    """Decide who may submit work."""

    def team_for(self, access: Access, secret: str | None, target: str) -> str:
        """Return the team charged for the work; raise HubError.

        ``target`` names the queue or service in the error message.
        """

    def team_of_key(self, secret: str | None) -> str:
        """Return the team to which a key belongs; raise HubError."""


@dataclass(frozen=True, slots=True)
class QuickRequest:
    """Hold one decoded quick request."""

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    secret: str | None
    deadline_s: float | None = None
    idempotent: bool = True
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class QuickAnswer:
    """Hold the complete answer of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    backend: str


class Quick(Protocol):
    """Run quick requests on backend servers while the callers wait."""

    def run(self, request: QuickRequest) -> QuickAnswer:
        """Return the answer of one backend server; raise HubError."""

    def refuse_new(self) -> None:
        """Refuse all requests from now on; those in progress go on."""


class Jobs(Protocol):
    """Accept, read and cancel stored jobs."""

    def submit(self, spec: JobSpec, idempotency_key: str) -> tuple[Job, bool]:
        """Store a job once per idempotency key; return it and whether it is new."""

    def read(self, team: str, job_id: str) -> Job:
        """Return a job of the team; raise HubError."""

    def list_jobs(self, team: str, after: str, limit: int) -> list[Job]:
        """Return the team's jobs with ids above ``after``, ordered by id."""

    def cancel(self, team: str, job_id: str) -> Job:
        """Request a job's cancellation; return the job."""


class Callers(Protocol):
    """Serve callers over HTTP."""

    def drain(self, limit_s: float) -> None:
        """Answer the requests that have arrived, then end all connections."""


TABLE: ServiceName[Table] = ServiceName("table")
OBJECTS: ServiceName[Objects] = ServiceName("objects")
HOST_LIST: ServiceName[HostList] = ServiceName("host-list")
MEMBERSHIP: ServiceName[Membership] = ServiceName("membership")
CONFIGURATION: ServiceName[ConfigurationService] = ServiceName("configuration")
PEERS: ServiceName[Peers] = ServiceName("peers")
SHARDS: ServiceName[Shards] = ServiceName("shards")
DISPATCH: ServiceName[Dispatch] = ServiceName("dispatch")
GRANTS: ServiceName[GrantLedger] = ServiceName("grants")
ADMISSION: ServiceName[Admission] = ServiceName("admission")
QUICK: ServiceName[Quick] = ServiceName("quick")
JOBS: ServiceName[Jobs] = ServiceName("jobs")
CALLERS_HTTP: ServiceName[Callers] = ServiceName("callers-http")
OPS_HTTP: ServiceName[object] = ServiceName("ops-http")
