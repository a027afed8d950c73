"""Named greenlets whose unexpected errors are always reported."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

import gevent
from gevent import Greenlet

from primrosehub.core.logs import log

RESTART_DELAY_S = 0.2  # keeps a task that fails immediately from using all the CPU


class TaskGroup:
    """Manage the greenlets of one service."""

    def __init__(self, on_failure: Callable[[str, BaseException], None]) -> None:
        self._on_failure = on_failure
        self._tasks: set[Greenlet] = set()
        self._closed = False

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, name: str, function: Callable[..., None], *args: Any) -> Greenlet:
        """Run the function in a greenlet; an error is reported under the given name."""
        return self._spawn(self._run_once, name, function, *args)

    def spawn_restarting(
        self, name: str, function: Callable[..., None], *args: Any
    ) -> Greenlet:
        """Run the function in a greenlet, again after each error, until it returns."""
        return self._spawn(self._run_restarting, name, function, *args)

    def close(self) -> None:
        """Kill all greenlets and wait for them; ignore later calls of ``spawn``.

        A calling greenlet of this group is killed at its next blocking call.
        """
        self._closed = True
        caller = gevent.getcurrent()
        gevent.killall([task for task in self._tasks if task is not caller])
        if caller in self._tasks:
            caller.kill(block=False)

    def _spawn(self, *args: Any) -> Greenlet:
        if self._closed:
            return Greenlet()
        task = gevent.spawn(*args)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)
        return task

    def _run_once(self, name: str, function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except gevent.GreenletExit:
            raise
        except Exception as error:  # noqa: BLE001 - reported to the owner of the group
            self._on_failure(name, error)

    def _run_restarting(
        self, name: str, function: Callable[..., None], *args: Any
    ) -> None:
        while True:
            try:
                function(*args)
            except gevent.GreenletExit:
                raise
            except Exception as error:  # noqa: BLE001 - logged, then the task is restarted
                log_task_error(name, error)
                gevent.sleep(RESTART_DELAY_S)
            else:
                return


def log_task_error(name: str, error: BaseException) -> None:
    """Log an error that ended a task, with the innermost three stack frames."""
    places = traceback.extract_tb(error.__traceback__)[-3:]
    trace = " < ".join(
        f"{p.filename.rsplit('/', 1)[-1]}:{p.lineno}" for p in places[::-1]
    )
    log("task_error", task=name, error=repr(error)[:300], trace=trace)
