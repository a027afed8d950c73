"""Settings of the hub daemon, read from a JSON file."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field


def _checked_address(text: str) -> str:
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit() or not 1 <= int(port) <= 65535:
        raise ValueError("must be IP:PORT")
    return text


HostPort = Annotated[str, AfterValidator(_checked_address)]
Milliseconds = Annotated[int, Field(ge=0, le=86_400_000)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Bounds(_Model):
    """Hold the platform's bounds that this daemon keeps to."""

    grace_s: Seconds = 6
    host_drain_ms: Milliseconds = 2_000
    max_lease_ms: Milliseconds = 10_000
    stop_timeout_ms: Milliseconds = 200


class HubSettings(_Model):
    """Hold the settings of one hub daemon.

    ``peer`` is where other daemons reach it, ``ops_ports`` the range whose first port
    serves metrics, ``cores`` x ``cpu_share`` the processor that it has.
    """

    name: str
    zone: str
    region: str = ""
    ip: str
    callers: HostPort
    ready: HostPort
    peer: HostPort
    ops_ports: tuple[int, ...] = ()
    seed_peers: tuple[HostPort, ...] = ()
    store: HostPort
    advice: HostPort | None = None
    cpu_share: Annotated[float, Field(gt=0)] = 1.0
    cores: Annotated[float, Field(gt=0)] = 1.0
    bounds: Bounds = Bounds()
