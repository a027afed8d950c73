"""Describe the parts of a cell and choose the addresses of its hosts."""

from __future__ import annotations

import socket
import subprocess
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Layout:
    """Set the numbers and sizes of a cell's daemons, hosts and shards."""

    entries: int = 3
    schedulers: int = 3
    zones: int = 4
    racks_per_zone: int = 1
    workers_per_rack: int = 6
    worker_capacity: dict[str, int] = field(
        default_factory=lambda: {"cpu_m": 64000, "memory_mb": 131072}
    )
    backends: int = 24
    service: str = "quotes"
    slots: int = 8
    connections: int = 64
    shards: int = 4
    timing: dict[str, float] = field(default_factory=dict)
    entry_settings: dict[str, Any] = field(default_factory=dict)
    worker_processes: int = 1


@dataclass(slots=True)
class Daemon:
    """Hold one daemon: its settings and its process."""

    name: str
    role: str
    settings: dict[str, Any]
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None

    def address(self, which: str) -> tuple[str, int]:
        """Return the address under a key of the settings."""
        return self.settings[which]["ip"], self.settings[which]["port"]


class Ports:
    """Choose free ports and return none of them twice."""

    def __init__(self) -> None:
        self._taken: set[tuple[str, int]] = set()

    def take(self, ip: str) -> int:
        """Return a port that is free now."""
        while True:
            with socket.socket() as probe:
                probe.bind((ip, 0))
                port = probe.getsockname()[1]
            if (ip, port) not in self._taken:
                self._taken.add((ip, port))
                return port


def worker_entry(layout: Layout, number: int, ports: Ports) -> dict[str, Any]:
    """Return the host list's entry of a worker host, at a free port."""
    rack = number // layout.workers_per_rack
    ip = f"127.0.1.{1 + number % 250}"
    return {
        "name": f"worker-{number + 1}",
        "kind": "worker",
        "ip": ip,
        "port": ports.take(ip),
        "zone": f"zone-{1 + rack % layout.zones}",
        "rack": f"rack-{1 + rack}",
        "capacity": layout.worker_capacity,
    }


def backend_entry(layout: Layout, number: int, ports: Ports) -> dict[str, Any]:
    """Return the host list's entry of a backend server, at a free port."""
    ip = f"127.0.2.{1 + number % 250}"
    return {
        "name": f"backend-{number + 1}",
        "kind": "backend",
        "ip": ip,
        "port": ports.take(ip),
        "zone": f"zone-{1 + number % layout.zones}",
        "rack": f"rack-{1 + number % layout.zones}",
        "service": layout.service,
        "slots": layout.slots,
        "connections": layout.connections,
    }
