"""Named greenlets whose unexpected errors are never lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import Greenlet


class TaskGroup:
    """Own the greenlets of one service."""

    def __init__(self, on_failure: Callable[[str, BaseException], None]) -> None:
        self._on_failure = on_failure
        self._tasks: set[Greenlet] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, name: str, function: Callable[..., None], *args: Any) -> Greenlet:
        """Run the function in a greenlet of the given name."""
        task = gevent.spawn(self._guard, name, function, *args)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)
        return task

    def close(self) -> None:
        """End every greenlet and wait for it."""
        gevent.killall(list(self._tasks))

    def _guard(self, name: str, function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except gevent.GreenletExit:
            raise
        except Exception as error:  # noqa: BLE001 - reported and fatal for the process
            self._on_failure(name, error)
