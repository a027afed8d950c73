"""Run a checkout's daemon with all that it connects to behind the relay of a soak.

It is run by its path, with the daemon's name, the relay's port and the daemon's main
program, and imports nothing of this project: the daemon's modules are the checkout's.
"""
# ruff: noqa: E402 - see hub_main.py; gevent must patch the standard library first

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import errno
import os
import runpy
import sys
from typing import Any

from gevent import socket

CONNECTED = b"+"


def connect_through_relay(name: str, relay: tuple[str, int]) -> None:
    """Let each socket of this process connect through the relay."""
    connect = socket.socket.connect

    def connect_to_relay(sock: socket.socket, address: Any) -> None:
        ip, port = address
        connect(sock, relay)
        sock.sendall(f"{name} {ip}:{port}\n".encode())
        if sock.recv(1) != CONNECTED:
            raise ConnectionRefusedError(
                errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED)
            )

    socket.socket.connect = connect_to_relay


if __name__ == "__main__":
    daemon, relay_port, main_program = sys.argv[1:]
    connect_through_relay(daemon, ("127.0.0.1", int(relay_port)))
    sys.argv = [main_program]
    runpy.run_path(main_program, run_name="__main__")
