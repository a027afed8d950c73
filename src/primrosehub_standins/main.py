"""Run stand-ins of one role for the hosts of a JSON file."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import signal
import sys
from pathlib import Path
from typing import Any, Literal

import defopt
import gevent
import orjson
from gevent.event import Event

from primrosehub_standins.backend import BackendStandin
from primrosehub_standins.journal import Journal
from primrosehub_standins.platform import HostListStandin, ObjectsStandin
from primrosehub_standins.table import TableStandin
from primrosehub_standins.web import serve
from primrosehub_standins.worker import WorkerStandin

Role = Literal["table", "objects", "host-list", "worker", "backend"]


def standin(
    *,
    role: Role,
    ip: str = "127.0.0.1",
    port: int = 0,
    hosts: Path | None = None,
    names: str = "",
    journal: Path | None = None,
) -> int:
    """Run stand-ins until SIGTERM or SIGINT.

    :param role: which part to stand in for
    :param ip: the address that the platform's stand-ins listen on
    :param port: the port that the platform's stand-ins listen on
    :param hosts: the host list, with the addresses of workers and backends
    :param names: only these hosts, separated by commas
    :param journal: the file to append events to
    """
    log = Journal(journal)
    listed = orjson.loads(hosts.read_bytes()) if hosts else []
    match role:
        case "table":
            serve(ip, port, TableStandin(log).app)
        case "objects":
            serve(ip, port, ObjectsStandin().app)
        case "host-list":
            serve(ip, port, HostListStandin(hosts or Path()).app)
        case "worker" | "backend":
            for host in _chosen(listed, role, names):
                _serve_host(host, log)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    stop.wait()
    return 0


def _chosen(listed: list[dict[str, Any]], role: str, names: str) -> list[Any]:
    wanted = set(names.split(",")) if names else None
    return [
        host
        for host in listed
        if host["kind"] == role and (wanted is None or host["name"] in wanted)
    ]


def _serve_host(host: dict[str, Any], journal: Journal) -> None:
    if host["kind"] == "worker":
        app = WorkerStandin(host["name"], host["capacity"], journal).app
    else:
        app = BackendStandin(host["name"], host["slots"], journal).app
    serve(host["ip"], host["port"], app)


def main() -> None:
    """Run the stand-ins named on the command line."""
    sys.exit(defopt.run(standin))


if __name__ == "__main__":
    main()
