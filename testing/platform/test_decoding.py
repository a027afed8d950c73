import orjson
import pytest

from primrosehub.core.batch import TaskId
from primrosehub.core.resources import Resources
from primrosehub.platform.hosts import decode_host, decode_task, encode_task
from primrosehub.platform.operator import decode_config

ENTRY = {
    "service": "workshop",
    "address": "10.0.0.1:80",
    "state": "ready",
    "free-capacity": {"cpu": 64000, "mem-mb": 1024},
    "labels": ["a", "r1-3"],
    "sequence": 4,
}


def test_a_hosts_entry_is_decoded_into_our_terms():
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
def test_an_entry_of_another_writer_names_no_host(change):
    with pytest.raises(ValueError):
        decode_host("i-1", orjson.dumps(ENTRY | change))


def test_unreadable_bytes_name_no_host():
    with pytest.raises(ValueError):
        decode_host("i-1", b"\xff\x00")


def test_a_tasks_name_goes_there_and_back():
    task = TaskId("5c0e7a21d94b36f8", 2, 1, 17)
    assert encode_task(task) == "5c0e7a21d94b36f8.2.1.17"
    assert decode_task(encode_task(task)) == task


def test_the_longest_prefix_of_the_host_names_the_queue():
    routes = [
        {"name": name, "host": "h.example", "prefix": prefix, "service": "s"}
        for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
    ]
    text = orjson.dumps({"version": 3, "routes": routes})
    config = decode_config(text)
    assert config.queue_for("h.example", "/a/b/x").name == "long"
    assert config.queue_for("h.example", "/a/c").name == "short"
    assert config.queue_for("other.example", "/a/c") is None
    assert (config.version, config.text) == (3, text)
