"""Settings of the hub daemon, read from a JSON file."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from primrosehub.border.address import parse_address


def _validate_address(text: str) -> str:
    try:
        parse_address(text)
    except ValueError:
        raise ValueError("must be IP:PORT with a port from 1 to 65535") from None
    return text


HostPort = Annotated[str, AfterValidator(_validate_address)]
Milliseconds = Annotated[int, Field(ge=0, le=86_400_000)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Bounds(_Model):
    """Hold the time limits that the platform sets.

    ``grace_s`` is the time that a daemon has to exit after a stop signal,
    ``host_drain_ms`` the time that a draining worker host keeps running,
    ``max_lease_ms`` the longest lease of a worker host, and ``stop_timeout_ms`` the
    time after which an attempt has ended once its host has accepted the stop order.
    """

    grace_s: Seconds = 6
    host_drain_ms: Milliseconds = 2_000
    max_lease_ms: Milliseconds = 10_000
    stop_timeout_ms: Milliseconds = 200


class HubSettings(_Model):
    """Hold the settings of one hub daemon.

    ``peer`` is the address for calls from other daemons. The first of ``ops_ports``
    serves metrics. Invalid ``seed_peers`` are skipped. ``cores`` x ``cpu_share`` is the
    processor time that the daemon may use, in cores.
    """

    name: str
    zone: str
    region: str = ""
    ip: str
    callers: HostPort
    ready: HostPort
    peer: HostPort
    ops_ports: tuple[int, ...] = ()
    seed_peers: tuple[str, ...] = ()
    store: HostPort
    advice: HostPort | None = None
    cpu_share: Annotated[float, Field(gt=0)] = 1.0
    cores: Annotated[float, Field(gt=0)] = 1.0
    bounds: Bounds = Bounds()
