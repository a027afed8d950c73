import orjson
import pytest

from primrosehub.core.batch import TaskId
from primrosehub.core.resources import Resources
from primrosehub.platform.hosts import (
    decode_host,
    decode_report,
    decode_task,
    encode_task,
)
from primrosehub.platform.operator import decode_config

ENTRY = {
    "service": "workshop",
    "address": "10.0.0.1:80",
    "state": "ready",
    "free-capacity": {"cpu": 64000, "mem-mb": 1024},
    "labels": ["a", "r1-3"],
    "sequence": 4,
}


def test_a_host_entry_is_decoded_into_a_worker_host():
    host = decode_host("i-1", orjson.dumps(ENTRY))
    assert (host.host, host.service, host.rack) == ("i-1", "workshop", "r1-3")
    assert host.capacity == Resources(64000, 1024, 0)
    assert not host.draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "unheard-of"},
        {"address": "nowhere"},
        {"free-capacity": "much"},
        {"service": 7},
        {"labels": None},
    ],
)
def test_an_invalid_host_entry_is_rejected(change):
    with pytest.raises(ValueError):
        decode_host("i-1", orjson.dumps(ENTRY | change))


def test_a_host_entry_that_is_not_json_is_rejected():
    with pytest.raises(ValueError):
        decode_host("i-1", b"\xff\x00")


@pytest.mark.parametrize(("ends", "complete"), [(0, True), (499, True), (500, False)])
def test_a_report_with_as_many_ends_as_fit_may_leave_some_out(ends, complete):
    rows = [[n + 1, f"5c0e7a21d94b36f8.0.0.{n}", 1, "done", ""] for n in range(ends)]
    report = decode_report(orjson.dumps({"clock-ms": 1, "ended": rows}))
    assert report.ends_complete is complete


def test_a_task_name_decodes_to_the_task_it_was_encoded_from():
    task = TaskId("5c0e7a21d94b36f8", 2, 1, 17)
    assert encode_task(task) == "5c0e7a21d94b36f8.2.1.17"
    assert decode_task(encode_task(task)) == task


def test_the_queue_with_the_longest_matching_prefix_is_chosen():
    routes = [
        {"name": name, "host": "h.example", "prefix": prefix, "service": "s"}
        for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
    ]
    text = orjson.dumps({"version": 3, "routes": routes})
    config, problems = decode_config(text)
    assert problems == ()
    assert config.queue_for("h.example", "/a/b/x").name == "long"
    assert config.queue_for("h.example", "/a/c").name == "short"
    assert config.queue_for("other.example", "/a/c") is None
    assert (config.version, config.text) == (3, text)
