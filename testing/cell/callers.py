"""Send requests to a test cell as its callers do, and read the workers' journals."""

import http.client
import time

import gevent
import orjson

from primrosehub_standins.checker import check_jobs, check_workers
from primrosehub_standins.journal import read_journal
from testing.builders import SECRET, a_submission

FINAL_STATES = ("succeeded", "failed", "cancelled", "unknown")
# Callers take a connection that ends sooner after a request for one that was idle.
LOSS_SLACK_S = 0.2


class Callers:
    """Send requests, by default with blue's key and to the first entry daemon."""

    def __init__(self, cell):
        self.cell = cell

    def call(self, target="/v1/call/quotes/x", method="GET", entry=1, **options):
        secret = options.pop("secret", SECRET)
        headers = [*options.pop("headers", ())]
        if secret:
            headers.append(("Primrosehub-Key", secret))
        address = self.cell.daemons[f"entry-{entry}"].address("callers")
        return self.cell.request(address, method, target, headers=headers, **options)

    def submit(self, name="job", entry=1, **body):
        body = a_submission(**body)
        headers = [("Idempotency-Key", name)]
        return self.call("/v1/jobs", "POST", entry, body=body, headers=headers)

    def submit_id(self, name="job", **body):
        response = self.submit(name, **body)
        assert response.status == 201, response.body
        return orjson.loads(response.body)["id"]

    def job(self, job_id):
        return orjson.loads(self.call(f"/v1/jobs/{job_id}").body)

    def wait_done(self, job_id):
        self.cell.wait_for(
            lambda: self.job(job_id).get("state") in FINAL_STATES, f"job {job_id}"
        )
        return self.job(job_id)["state"]

    def wait_running(self, job_id):
        def runs():
            return [e for e in self.starts(job_id) if e] and all(
                task["state"] == "assigned" for task in self.job(job_id)["tasks"]
            )

        self.cell.wait_for(runs, f"job {job_id} running")

    def events(self):
        names = [n for n in self.cell.standins if n.startswith("worker-process")]
        events = [e for n in names for e in read_journal(self.cell.journal(n))]
        return sorted(events, key=lambda event: event["at"])

    def starts(self, job_id):
        return [
            e for e in self.events() if e["event"] == "start" and e["ref"][0] == job_id
        ]

    def violations(self, jobs=()):
        capacities = {h["name"]: h.get("capacity") for h in self.cell.hosts}
        events = self.events()
        return [*check_workers(events, capacities), *check_jobs(events, jobs)]


class KeptConnection:
    """A connection to the first entry daemon that stays open between requests."""

    def __init__(self, cell, name):
        self.name = name
        self.lost = None
        address = cell.daemons["entry-1"].address("callers")
        self.http = http.client.HTTPConnection(*address, timeout=15)
        self._exchange("GET", "/v1/jobs?limit=1")
        self.status = None

    @property
    def was_refused(self):
        return self.problem.get("not_run") is True

    def send_at(self, moment, method, target, body=None):
        """Send at a moment; return False if the connection ends before an answer."""
        try:
            with gevent.Timeout(max(0.0, moment - time.monotonic())):
                assert self.http.sock is None or self.http.sock.recv(1) == b""
                return False
        except gevent.Timeout:
            pass
        except OSError:
            return False
        sent_at = time.monotonic()
        try:
            self._exchange(method, target, body)
        except (OSError, http.client.HTTPException) as error:
            waited_s = time.monotonic() - sent_at
            if waited_s > LOSS_SLACK_S:
                self.lost = f"{self.name}: no answer after {waited_s:.3f} s: {error!r}"
            return False
        return True

    def read_answer(self):
        response = self.http.getresponse()
        content = response.read()
        self.status = response.status
        self.problem = {}
        if response.getheader("Content-Type") == "application/problem+json":
            self.problem = orjson.loads(content)
        elif response.status >= http.HTTPStatus.BAD_REQUEST:
            self.lost = f"{self.name}: {response.status} without a kind: {content}"

    def _exchange(self, method, target, body=None):
        headers = {
            "Primrosehub-Key": SECRET,
            "Primrosehub-Request-Id": self.name,
            "Idempotency-Key": self.name,
        }
        content = None if body is None else orjson.dumps(body)
        self.http.request(method, target, content, headers)
        self.read_answer()


def problem_kind(response):
    return orjson.loads(response.body)["kind"]
