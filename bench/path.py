"""Measure quick requests direct to backend servers and through an entry daemon."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import cycle

import defopt
import gevent

from bench._cells import KEY, cpu_seconds, running_cell
from primrosehub.border.http_client import HttpEndpoint
from primrosehub_standins.load import quantile

ROUNDS = 4
FIXED_RATE_PER_S = 300
SATURATION_TASKS = 32
_OK = 200


@dataclass(frozen=True, slots=True)
class Client:
    """Send requests to the backend servers, using its endpoints in turn."""

    endpoints: Iterator[HttpEndpoint]
    target: str

    def call(self) -> float:
        """Send one request and return its time in seconds."""
        started = time.perf_counter()
        response = next(self.endpoints).exchange(
            "GET", self.target, (("Primrosehub-Key", KEY),), timeout_s=10
        )
        if response.status != _OK:
            raise RuntimeError(f"{self.target}: {response.status} {response.body!r}")
        return time.perf_counter() - started


def times_at_fixed_rate(client: Client, seconds: float) -> list[float]:
    """Return the times in seconds of requests sent at the fixed rate."""
    started = time.perf_counter()
    tasks = []
    for number in range(int(FIXED_RATE_PER_S * seconds)):
        at = started + number / FIXED_RATE_PER_S
        gevent.sleep(max(0.0, at - time.perf_counter()))
        tasks.append(gevent.spawn(client.call))
    gevent.joinall(tasks, raise_error=True)
    return [task.get() for task in tasks]


def rate_at_saturation(client: Client, seconds: float) -> float:
    """Return how many requests a second ``SATURATION_TASKS`` tasks complete."""
    deadline = time.perf_counter() + seconds
    counts = [0] * SATURATION_TASKS

    def work(slot: int) -> None:
        while time.perf_counter() < deadline:
            client.call()
            counts[slot] += 1

    tasks = [gevent.spawn(work, slot) for slot in range(SATURATION_TASKS)]
    gevent.joinall(tasks, raise_error=True)
    return sum(counts) / seconds


def main(*, seconds: float = 3.0) -> None:
    """Alternate direct requests and those through the entry; print one JSON line.

    :param seconds: the length of each round
    """
    times: dict[str, list[float]] = {"direct": [], "through": []}
    rates: dict[str, list[float]] = {"direct": [], "through": []}
    with running_cell(entries=1, schedulers=0, backends=8, workers_per_rack=0) as cell:
        entry = cell.entries()[0]
        backends = [h["name"] for h in cell.hosts if h["kind"] == "backend"]
        direct = [HttpEndpoint(*cell.address_of(name), 8) for name in backends]
        clients = {
            "direct": Client(cycle(direct), "/work?ms=0"),
            "through": Client(
                cycle([HttpEndpoint(*entry.address("callers"), 64)]),
                "/v1/call/quotes/work?ms=0",
            ),
        }
        cpu_s = requests = 0.0
        for _ in range(ROUNDS):
            for name, client in clients.items():
                times[name] += times_at_fixed_rate(client, seconds)
        for name, client in clients.items():
            before = cpu_seconds(cell, entry.name)
            rates[name].append(rate_at_saturation(client, seconds))
            if name == "through":
                cpu_s = cpu_seconds(cell, entry.name) - before
                requests = rates[name][0] * seconds
    result = {
        f"{name}_{label}_ms": round(1000 * quantile(times[name], q), 3)
        for name in times
        for label, q in (("p50", 0.5), ("p99", 0.99))
    }
    result["requests_per_s"] = round(rates["through"][0])
    result["direct_requests_per_s"] = round(rates["direct"][0])
    result["cpu_ms_per_request"] = round(1000 * cpu_s / requests, 3)
    print(json.dumps(result))


if __name__ == "__main__":
    defopt.run(main)
