"""The operators' command that prints how long jobs wait in each queue of the hub."""

from __future__ import annotations

import re

from primrosehub.binaries._operator_context import OperatorError
from primrosehub.border.address import parse_address
from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent

TIMEOUT_S = 3.0
_LEADING = re.compile(r"^primrosehub_leading(?:\{\})? 1(?:\.0)?$", re.MULTILINE)
_QUEUE_METRIC = re.compile(
    r'^primrosehub_queue_(\w+)\{queue="([^"]*)"\} ([0-9.e+-]+)$', re.MULTILINE
)
_COLUMNS = ("waiting_jobs", "oldest_wait_seconds", "expected_wait_seconds")


def waits(*addresses: str) -> int:
    """Print the waiting jobs of each queue and the expected wait of a new one.

    :param addresses: IP:PORT of the metrics of one or more hub daemons; only the
        daemon that owns the jobs reports waits
    """
    if not addresses:
        raise OperatorError("name the metrics address of at least one hub daemon")
    problems = []
    for address in addresses:
        try:
            page = _read_metrics(address)
        except (ValueError, NotSent, NoAnswer) as error:
            problems.append(f"{address}: {error}")
            continue
        if _LEADING.search(page):
            print("\n".join(render_waits(page)))
            return 0
        problems.append(f"{address}: does not own the jobs")
    raise OperatorError("; ".join(problems))


def render_waits(page: str) -> list[str]:
    """Return a table of the queues on a metrics page, the longest wait first."""
    rows: dict[str, dict[str, float]] = {}
    for column, queue, value in _QUEUE_METRIC.findall(page):
        rows.setdefault(queue, {})[column] = float(value)
    lines = [f"{'queue':24} {'waiting':>8} {'oldest s':>9} {'expected s':>11}"]
    for queue in sorted(rows, key=lambda one: -rows[one].get(_COLUMNS[2], 0.0)):
        waiting, oldest_s, expected_s = (rows[queue].get(c, 0.0) for c in _COLUMNS)
        lines.append(f"{queue:24} {waiting:8.0f} {oldest_s:9.1f} {expected_s:11.1f}")
    return lines


def _read_metrics(address: str) -> str:
    parsed = parse_address(address)
    endpoint = HttpEndpoint(parsed.ip, parsed.port)
    try:
        response = endpoint.exchange("GET", "/metrics", timeout_s=TIMEOUT_S)
    finally:
        endpoint.close()
    if response.status != 200:
        raise NoAnswer(f"status {response.status}")
    return response.body.decode("utf-8", "replace")
