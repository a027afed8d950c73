"""What daemons tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from primrosehub.core.batch import AcceptedJob, JobState


@dataclass(frozen=True, slots=True)
class PeerCard:
    """Describe a daemon; ``incarnation`` differs for each of its lives.

    ``power`` is its processor in cores; an owner is sought among the strongest.
    """

    name: str
    address: str
    zone: str
    incarnation: str
    power: float = 1.0


@dataclass(frozen=True, slots=True)
class OwnerSeen:
    """Hold the highest epoch that a daemon knows of and who holds it.

    ``incarnation`` is empty while nobody does. ``heard_s`` is the age of the owner's
    last sign of life, as seen by the daemon that tells this.
    """

    epoch: int = 0
    incarnation: str = ""
    name: str = ""
    heard_s: float = 1e9


@dataclass(frozen=True, slots=True)
class OwnerRow:
    """Hold the row of ownership; an empty incarnation means vacant."""

    epoch: int
    incarnation: str
    name: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class Ping:
    """Say that the sender is alive and what it believes."""

    sender: PeerCard
    owner: OwnerSeen
    config_version: int
    store_reached: bool
    leaving: bool = False
    slow: bool = False


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a ping in kind."""

    sender: PeerCard
    owner: OwnerSeen
    config_version: int
    store_reached: bool
    leaving: bool = False
    slow: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedPong:
    """Hold what a peer last said of itself, and how long ago."""

    pong: Pong
    age_s: float


@dataclass(frozen=True, slots=True)
class AskMembers:
    """Ask which daemons the receiver knows."""


@dataclass(frozen=True, slots=True)
class MembersAre:
    """List known daemons."""

    cards: tuple[PeerCard, ...]


@dataclass(frozen=True, slots=True)
class AskConfig:
    """Ask for the receiver's configuration."""


@dataclass(frozen=True, slots=True)
class ConfigIs:
    """Carry a configuration as the operators wrote it."""

    text: bytes


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Ask the receiver to pass an encoded call to the store."""

    method: str
    target: str
    body: bytes
    timeout_s: float


@dataclass(frozen=True, slots=True)
class RelayReply:
    """Carry the store's answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayFailed:
    """Say that the relayed call got no answer; ``surely_not_done`` if it never ran."""

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
    """Carry the hosts that may run the step, with their tickets."""

    tickets: dict[str, str]
    valid_s: float


@dataclass(frozen=True, slots=True)
class NoAdvice:
    """Say that no advice was given."""

    detail: str


@dataclass(frozen=True, slots=True)
class JobsAccepted:
    """Tell the owner of newly stored jobs."""

    jobs: tuple[AcceptedJob, ...]


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """Tell the owner of a stored cancellation."""

    job: str


@dataclass(frozen=True, slots=True)
class Noted:
    """Say that the owner has taken note."""


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Say that the receiver does not own the jobs."""


@dataclass(frozen=True, slots=True)
class AskState:
    """Ask the owner for a job's state."""

    job: str
    team: str


@dataclass(frozen=True, slots=True)
class StateIs:
    """Tell a job's state; None for a job that the owner does not know."""

    state: JobState | None


@dataclass(frozen=True, slots=True)
class AskWaiting:
    """Ask the owner how many of a queue's jobs have not begun."""

    queue: str


@dataclass(frozen=True, slots=True)
class WaitingIs:
    """Tell how many of a queue's jobs have not begun."""

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
