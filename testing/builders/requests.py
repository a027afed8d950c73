"""Build callers' requests as the bytes that they send."""

import orjson

from primrosehub.platform.wire import DEADLINE_MS_HEADER
from primrosehub_standins.hub_cell import API_KEY, HOST_NAME, PREFIX
from testing.builders.documents import JOB_ID


def a_request(method="GET", path=PREFIX, body=b"", deadline_ms=None):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {API_KEY}",
        f"Content-Length: {len(body)}",
    ]
    if deadline_ms is not None:
        lines.append(f"{DEADLINE_MS_HEADER}: {deadline_ms}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def a_submission(job=JOB_ID, deadline_ms=None):
    body = orjson.dumps({"spec": "run 0.1", "phases": [{"cpu": 1000, "mem-mb": 256}]})
    return a_request("POST", PREFIX + job, body, deadline_ms)


def a_state_query(job=JOB_ID):
    return a_request("GET", PREFIX + job)
