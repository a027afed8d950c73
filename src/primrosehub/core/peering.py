"""The messages that hub daemons exchange."""

from __future__ import annotations

from dataclasses import dataclass

from primrosehub.core.batch import AcceptedJob, JobState


@dataclass(frozen=True, slots=True)
class PeerCard:
    """Identify a daemon.

    ``incarnation`` changes with each start. ``power`` is its share of the processor in
    cores; daemons with more of it are preferred as the owner.
    """

    name: str
    address: str
    zone: str
    incarnation: str
    power: float = 1.0


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Hold the highest epoch that a daemon knows of, and its owner.

    ``incarnation`` is empty while there is no owner. ``heard_s`` is the time since the
    sending daemon last heard from the owner.
    """

    epoch: int = 0
    incarnation: str = ""
    name: str = ""
    heard_s: float = 1e9


@dataclass(frozen=True, slots=True)
class OwnerRow:
    """Hold the stored row that names the owner.

    An empty ``incarnation`` means that there is no owner. ``number`` counts the
    owner's writes in the epoch, which makes every version of the row distinct.
    """

    epoch: int
    incarnation: str
    name: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Tell a peer that the sender is alive, and its current state."""

    sender: PeerCard
    owner: OwnerSeen
    config_version: int
    store_reached: bool
    leaving: bool = False
    slow: bool = False


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a ping with the same information about the answering daemon."""

    sender: PeerCard
    owner: OwnerSeen
    config_version: int
    store_reached: bool
    leaving: bool = False
    slow: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedPong:
    """Hold the last pong of a peer and its age.

    ``leaving_s`` is the time since the peer first told that it leaves, 0 if it did not.
    """

    pong: Pong
    age_s: float
    leaving_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AskMembers:
    """Request the list of daemons that the receiver knows."""


@dataclass(frozen=True, slots=True)
class MembersAre:
    """List known daemons."""

    cards: tuple[PeerCard, ...]


@dataclass(frozen=True, slots=True)
class AskConfig:
    """Request the receiver's configuration."""


@dataclass(frozen=True, slots=True)
class ConfigIs:
    """Carry a configuration as the operators wrote it."""

    text: bytes


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Ask the receiver to forward an encoded call to the store.

    ``waits`` marks a call that the store answers only after a change.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float
    waits: bool = False


@dataclass(frozen=True, slots=True)
class RelayReply:
    """Carry the store's answer to a relayed call."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayFailed:
    """Report that a relayed call got no answer.

    ``surely_not_done`` means that the call certainly took no effect.
    """

    surely_not_done: bool
    detail: str


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the receiver to obtain advice for a step."""

    job: str
    occurrence: int
    step: int
    hosts: tuple[str, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class AdviceIs:
    """Carry a ticket for each host that may run the step, valid for ``valid_s``."""

    tickets: dict[str, str]
    valid_s: float


@dataclass(frozen=True, slots=True)
class NoAdvice:
    """Report that no advice could be obtained."""

    detail: str


@dataclass(frozen=True, slots=True)
class JobsAccepted:
    """Notify the owner of newly stored jobs."""

    jobs: tuple[AcceptedJob, ...]


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """Notify the owner of a stored cancellation."""

    job: str


@dataclass(frozen=True, slots=True)
class Noted:
    """Acknowledge a notification to the owner."""


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Report that the receiver does not own the jobs."""


@dataclass(frozen=True, slots=True)
class AskState:
    """Ask the owner for a job's state."""

    job: str
    team: str


@dataclass(frozen=True, slots=True)
class StateIs:
    """Carry a job's state, or None if the owner does not know the job."""

    state: JobState | None


@dataclass(frozen=True, slots=True)
class AskWaiting:
    """Ask the owner how many jobs of a queue have not started."""

    queue: str


@dataclass(frozen=True, slots=True)
class WaitingIs:
    """Carry the number of jobs of a queue that have not started."""

    count: int


PeerMessage = (
    Ping
    | Pong
    | AskMembers
    | MembersAre
    | AskConfig
    | ConfigIs
    | RelayCall
    | RelayReply
    | RelayFailed
    | AskAdvice
    | AdviceIs
    | NoAdvice
    | JobsAccepted
    | JobCancelled
    | Noted
    | NotOwner
    | AskState
    | StateIs
    | AskWaiting
    | WaitingIs
)
