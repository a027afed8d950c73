import ast
from contextlib import ExitStack
from pathlib import Path

import gevent
import pytest

from primrosehub.kernel import Kernel, ServiceName, TaskGroup

SOURCE = Path(__file__).parents[2] / "src" / "primrosehub"


class Recorder:
    def __init__(self, events, name):
        self.events = events
        self.name = name

    def start(self, stack: ExitStack):
        self.events.append(f"start {self.name}")
        stack.callback(self.events.append, f"stop {self.name}")


def a_kernel(events):
    kernel = Kernel(settings=None)
    for name in ("first", "second"):
        kernel.register(ServiceName(name), Recorder(events, name))
    return kernel


def test_services_stop_in_reverse_order():
    events = []
    with ExitStack() as stack:
        a_kernel(events).start(stack)
    assert events == ["start first", "start second", "stop second", "stop first"]


def test_unknown_service_error_lists_the_known_ones():
    with pytest.raises(LookupError, match="registered: first, second"):
        a_kernel([]).find(ServiceName("third"))


def test_a_name_cannot_be_registered_twice():
    kernel = a_kernel([])
    with pytest.raises(ValueError, match="'first'"):
        kernel.register(ServiceName("first"), Recorder([], "first"))


def test_a_failed_task_stops_the_process():
    kernel = Kernel(settings=None)
    with ExitStack() as stack:
        kernel.tasks(stack).spawn("broken", lambda: 1 / 0)
        assert kernel.stopping.wait(10)
    assert kernel.failed


def test_a_closed_group_runs_nothing_that_is_spawned_later():
    events = []
    group = TaskGroup(lambda name, error: None)
    group.close()
    group.spawn("late", events.append, "ran")
    gevent.sleep(0.01)
    assert events == []


def test_a_task_that_closes_its_own_group_ends_at_its_next_wait():
    events = []
    group = TaskGroup(lambda name, error: None)

    def close_and_wait():
        group.close()
        events.append("closed")
        gevent.sleep(0.01)
        events.append("went on")

    group.spawn("closer", close_and_wait)
    gevent.sleep(0.05)
    assert events == ["closed"]


def test_a_restarting_task_runs_again_after_an_error_until_it_returns():
    events = []
    group = TaskGroup(lambda name, error: None)

    def fail_once():
        events.append("ran")
        if len(events) == 1:
            raise ValueError("once")

    group.spawn_restarting("restarting", fail_once)
    gevent.sleep(0.5)
    group.close()
    assert events == ["ran", "ran"]


def imports_of(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@pytest.mark.parametrize("path", sorted((SOURCE / "services").glob("*.py")), ids=str)
def test_services_find_each_other_by_name_only(path):
    for module in imports_of(path):
        if module.startswith("primrosehub.services."):
            part = module.split(".")[2]
            assert part == "names" or part.startswith("_")


@pytest.mark.parametrize("folder", ["core", "policy"])
def test_decisions_do_no_input_or_output(folder):
    for path in (SOURCE / folder).glob("*.py"):
        if path.name != "logs.py":
            names = {module.split(".")[0] for module in imports_of(path)}
            assert not names & {"gevent", "socket", "time", "grpc", "random"}


def test_no_product_module_imports_a_standin():
    for path in SOURCE.rglob("*.py"):
        assert not any(m.startswith("primrosehub_standins") for m in imports_of(path))
