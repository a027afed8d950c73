"""Settings of the entry and scheduler daemons and of the operators' command."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    ValidationError,
)

from primrosehub.border.codec import describe_validation_error

Port = Annotated[int, Field(ge=1, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=86400)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class SettingsError(Exception):
    """Tell the operator which setting is invalid and what is allowed."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """Hold an IP address and a port."""

    ip: IPvAnyAddress
    port: Port

    def __str__(self) -> str:
        host = f"[{self.ip}]" if self.ip.version == 6 else str(self.ip)
        return f"{host}:{self.port}"


class PlatformSettings(_Model):
    """Hold the addresses of the platform's services, and their timing.

    ``host_poll_s`` is the period at which the list of hosts is read.
    """

    table: Address
    objects: Address
    host_list: Address
    table_timeout_s: Seconds = 1.0
    host_poll_s: Seconds = 5.0


class Timing(_Model):
    """Hold the periods and time limits that the daemons of a cell must agree on.

    ``take_over_s`` is the time without news after which a member counts as dead,
    ``lease_s`` the duration of a worker host's lease, ``drift_s`` the allowance for
    differences in clock rate, and ``unconfirmed_s`` how long an owner may act without
    a confirmed read of the table.
    """

    renew_s: Seconds = 2.0
    take_over_s: Seconds = 6.0
    lease_s: Seconds = 30.0
    sync_s: Seconds = 10.0
    drift_s: Seconds = 1.0
    unconfirmed_s: Seconds = 900.0
    config_poll_s: Seconds = 1.0
    config_stale_s: Seconds = 3.0
    exchange_s: Seconds = 2.0
    inbox_poll_s: Seconds = 1.0

    def model_post_init(self, context: Any) -> None:
        """Reject periods that contradict each other."""
        if self.take_over_s < 2 * self.renew_s:
            raise ValueError("take_over_s must be at least twice renew_s")
        if self.lease_s < 3 * self.sync_s:
            raise ValueError("lease_s must be at least three times sync_s")


class DaemonSettings(_Model):
    """Hold the settings that entry and scheduler daemons have in common."""

    name: Name
    zone: Name
    region: Name = "region-1"
    peer: Address
    ops: Address
    platform: PlatformSettings
    seed_peers: tuple[Address, ...] = ()
    timing: Timing = Timing()
    shards: Annotated[int, Field(ge=1, le=256)] = 8


class EntrySettings(DaemonSettings):
    """Hold the settings of an entry daemon."""

    role: Literal["entry"] = "entry"
    callers: Address
    max_body_bytes: Annotated[int, Field(ge=1024, le=2**30)] = 1_048_576
    max_connections: Annotated[int, Field(ge=1, le=65536)] = 1024
    header_timeout_s: Seconds = 10.0
    drain_s: Seconds = 10.0


class SchedulerSettings(DaemonSettings):
    """Hold the settings of a scheduler daemon."""

    role: Literal["scheduler"] = "scheduler"


class OperatorSettings(_Model):
    """Hold the settings of the operator command."""

    platform: PlatformSettings
    entry: Address | None = None


M = TypeVar("M", bound=BaseModel)


def read_settings(model: type[M], path: Path) -> M:
    """Return the validated settings; raise SettingsError naming each invalid field."""
    try:
        return model.model_validate_json(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except ValidationError as error:
        raise SettingsError(f"{path}: {describe_validation_error(error)}") from None
