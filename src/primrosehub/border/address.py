"""Validate the addresses of daemons, worker hosts and services."""

from __future__ import annotations

from ipaddress import ip_address

from primrosehub.core.address import Address

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def parse_address(text: str) -> Address:
    """Return the address written as ``IP:PORT``; raise ValueError if it is invalid."""
    ip, _, port = text.rpartition(":")
    # int() would also accept digits of other alphabets.
    digits = port.isascii() and port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    if not digits or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r:.60} has no port from 1 to {MAX_PORT}")
    ip_address(ip)
    return Address(ip, int(port))
