"""Send requests to a test cell as its callers do, and read the workers' journals."""

import orjson

from primrosehub_standins.checker import check_jobs, check_workers
from primrosehub_standins.journal import read_journal
from testing.builders import SECRET

FINAL_STATES = ("succeeded", "failed", "cancelled", "unknown")


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
        body = {"queue": "nightly", "kind": "batch", "command": "sleep 0.1"} | body
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


def problem_kind(response):
    return orjson.loads(response.body)["kind"]
