"""Measure take-overs after kills, and how soon a change of rules is in force."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import hashlib
import json
import signal
import time
from collections.abc import Callable

import defopt
import gevent
import orjson

from bench._cells import running_cell
from primrosehub_standins.cell import Cell
from primrosehub_standins.load import quantile

POLL_S = 0.02
KEY = "rayo-trials-1"


def _rows(cell: Cell, prefix: str) -> list[dict]:
    query = {"queries": [{"prefix": prefix, "after": "", "limit": 500}]}
    response = cell.request(cell.address_of("table"), "POST", "/v1/read", query)
    return [row[1]["data"] for row in orjson.loads(response.body)["results"][0]]


def _seconds_until(condition: Callable[[], bool]) -> float:
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > 60:
            raise RuntimeError("the condition was not met within 60 s")
        gevent.sleep(POLL_S)
    return time.monotonic() - started


def _incarnation(cell: Cell, name: str) -> str:
    members = [m for m in _rows(cell, "member/") if m["name"] == name]
    return max(members, key=lambda m: m.get("counter", 0))["incarnation"]


def kill_owner(cell: Cell, number: int) -> tuple[float, float, float]:
    """Kill a scheduler that owns shards.

    Return the seconds until all its shards have new owners, and the rows written to
    the table and its reads a second meanwhile, without this benchmark's own reads.
    """
    schedulers = [d.name for d in cell.schedulers()]
    owned = {row.get("owner", "") for row in _rows(cell, "shard/")}
    owners = [n for n in schedulers if _incarnation(cell, n) in owned]
    name = owners[number % len(owners)]
    dead = _incarnation(cell, name)
    before = cell.table_counts() or {}
    cell.stop(name, signal.SIGKILL)

    def taken_over() -> bool:
        return all(
            row.get("owner", "") not in ("", dead) for row in _rows(cell, "shard/")
        )

    seconds = _seconds_until(taken_over)
    after = cell.table_counts() or {}
    writes = (after["rows_written"] - before["rows_written"]) / seconds
    polls = seconds / POLL_S
    reads = max(0.0, after["reads"] - before["reads"] - polls) / seconds
    cell.start_daemon(name)
    cell.wait_ready([name])
    gevent.sleep(6)
    return seconds, writes, reads


def _status(cell: Cell, name: str) -> int:
    address = cell.daemons[name].address("callers")
    headers = (("Primrosehub-Key", KEY),)
    return cell.request(address, "GET", "/v1/jobs", headers=headers).status


def change_key(cell: Cell, granted: bool) -> tuple[float, float]:
    """Grant or withdraw a key.

    Return the seconds from the start of the operator's command until the last entry
    daemon applies the change, and until the command reports that it is in force.
    """
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    rules = cell.operator("rules", "show")
    lines = [line for line in rules.splitlines() if digest not in line]
    if granted:
        lines.append(f"key sha256:{digest} team=trials  # Bench: granted again")
    path = cell.folder / "edited.txt"
    path.write_text("\n".join(lines) + "\n")
    started = time.monotonic()
    command = gevent.spawn(cell.operator, "rules", "apply", str(path))
    wanted = 200 if granted else 401
    names = [daemon.name for daemon in cell.entries()]
    _seconds_until(lambda: all(_status(cell, name) == wanted for name in names))
    applied_s = time.monotonic() - started
    command.get()
    return applied_s, time.monotonic() - started


def main(*, kills: int = 20, changes: int = 10) -> None:
    """Print one JSON line.

    :param kills: how many scheduler daemons to kill
    :param changes: how many times to withdraw and grant a key
    """
    with running_cell(entries=6, schedulers=6, shards=12, racks_per_zone=3) as cell:
        gevent.sleep(8)
        key_changes = [
            change_key(cell, granted) for _ in range(changes) for granted in (0, 1)
        ]
        takeovers = [kill_owner(cell, number) for number in range(kills)]
    times = [seconds for seconds, _, _ in takeovers]
    result = {
        "kills": kills,
        "takeover_s_p50": round(quantile(times, 0.5), 2),
        "takeover_s_max": round(max(times), 2),
        "key_withdrawn_s_max": round(
            max(applied_s for applied_s, _ in key_changes[::2]), 2
        ),
        "config_in_force_s_max": round(
            max(in_force_s for _, in_force_s in key_changes), 2
        ),
        "table_writes_per_s": round(max(writes for _, writes, _ in takeovers), 1),
        "table_reads_per_s": round(max(reads for _, _, reads in takeovers), 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(main)
