"""Send a day's work to a cell and record what the callers receive."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass, field
from typing import Any

import gevent
import orjson

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub_standins.checker import CallRecord, JobRecord

CALL_TIMEOUT_S = 15.0
JOB_POLL_S = 0.25
_OK, _CREATED = 200, 201


@dataclass(slots=True)
class Tally:
    """Count the outcomes of one stream of work."""

    name: str
    sent: int = 0
    answered: int = 0
    finished: int = 0
    refused: int = 0
    waits_s: list[float] = field(default_factory=list)


class Load:
    """Send streams of calls and jobs to several entry daemons in turn."""

    def __init__(self, entries: list[tuple[str, int]]) -> None:
        self.calls: list[CallRecord] = []
        self.jobs: dict[str, JobRecord] = {}
        self.tallies: list[Tally] = []
        self._endpoints = [HttpEndpoint(ip, port, 64) for ip, port in entries]
        self._requests_sent = 0

    def run_calls(self, stream: dict[str, Any]) -> None:
        """Send a stream of calls at its rate and wait for every answer."""
        tally = Tally(stream["name"])
        self.tallies.append(tally)
        started = time.monotonic()
        tasks = []
        for number in range(stream["count"]):
            at = started + number / stream["per_second"]
            gevent.sleep(max(0.0, at - time.monotonic()))
            tasks.append(gevent.spawn(self._call, stream, tally))
        gevent.joinall(tasks, raise_error=True)

    def run_jobs(self, stream: dict[str, Any]) -> None:
        """Submit a stream of jobs and wait until each ends or, for a service, runs."""
        tally = Tally(stream["name"])
        self.tallies.append(tally)
        tasks = [
            gevent.spawn(self._job, stream, tally, number)
            for number in range(stream["count"])
        ]
        gevent.joinall(tasks, raise_error=True)

    def _endpoint(self) -> HttpEndpoint:
        self._requests_sent += 1
        return self._endpoints[self._requests_sent % len(self._endpoints)]

    def _call(self, stream: dict[str, Any], tally: Tally) -> None:
        call_id = uuid.uuid4().hex
        body = orjson.dumps({"id": call_id})
        headers = [
            ("Primrosehub-Key", stream["key"]),
            ("Primrosehub-Request-Id", call_id),
            ("Primrosehub-Idempotent", "true" if stream["idempotent"] else "false"),
        ]
        target = f"/v1/call/{stream['service']}/work?ms={stream['ms']}"
        tally.sent += 1
        started = time.monotonic()
        try:
            response = self._endpoint().exchange(
                "POST", target, headers, body, timeout_s=CALL_TIMEOUT_S
            )
        except (NotSent, NoAnswer):
            self.calls.append(CallRecord(call_id, 0, body, b"", stream["idempotent"]))
            return
        tally.waits_s.append(time.monotonic() - started)
        not_run = None
        if response.status == _OK:
            tally.answered += 1
        else:
            tally.refused += 1
            not_run = orjson.loads(response.body).get("not_run")
        self.calls.append(
            CallRecord(
                call_id,
                response.status,
                body,
                response.body,
                stream["idempotent"],
                not_run,
            )
        )

    def _job(self, stream: dict[str, Any], tally: Tally, number: int) -> None:
        headers = [
            ("Primrosehub-Key", stream["key"]),
            ("Idempotency-Key", f"{stream['name']}-{number}"),
        ]
        tally.sent += 1
        document = self._submit(stream, headers)
        if document is None:
            tally.refused += 1
            return
        tally.answered += 1
        is_service = stream["body"]["kind"] == "service"
        started = time.monotonic()
        while not _is_settled(document, is_service):
            gevent.sleep(JOB_POLL_S)
            document = self._read(document, headers[:1])
        tally.finished += 1
        tally.waits_s.append(time.monotonic() - started)
        self.jobs[document["id"]] = JobRecord(
            document["id"],
            document["state"],
            len(document["tasks"]),
            stream["body"].get("idempotent", True),
            is_service,
        )

    def _submit(
        self, stream: dict[str, Any], headers: list[tuple[str, str]]
    ) -> dict[str, Any] | None:
        body = orjson.dumps(stream["body"])
        while True:
            try:
                response = self._endpoint().exchange(
                    "POST", "/v1/jobs", headers, body, timeout_s=CALL_TIMEOUT_S
                )
            except (NotSent, NoAnswer):
                gevent.sleep(JOB_POLL_S)
                continue
            if response.status in (_OK, _CREATED):
                return orjson.loads(response.body)
            if response.status < 500:
                return None
            gevent.sleep(JOB_POLL_S)

    def _read(
        self, document: dict[str, Any], headers: list[tuple[str, str]]
    ) -> dict[str, Any]:
        try:
            response = self._endpoint().exchange(
                "GET",
                f"/v1/jobs/{document['id']}",
                headers,
                timeout_s=CALL_TIMEOUT_S,
            )
        except (NotSent, NoAnswer):
            return document
        return orjson.loads(response.body) if response.status == _OK else document


def _is_settled(document: dict[str, Any], is_service: bool) -> bool:
    if is_service and document["state"] == "open":
        return all(task["state"] == "assigned" for task in document["tasks"])
    return document["state"] != "open"


def quantile(values: list[float], q: float) -> float:
    """Return the q-quantile of the values, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]
