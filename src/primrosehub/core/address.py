"""The address of a listening socket."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Hold an IP number and a port."""

    ip: str
    port: int

    @property
    def pair(self) -> tuple[str, int]:
        """Return the address as functions of ``socket`` take it."""
        return self.ip, self.port
