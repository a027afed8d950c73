"""The micro-kernel: a registry of named services that manages their life cycle."""

from __future__ import annotations

import importlib
import signal
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar, cast

import gevent
from gevent.event import Event

from primrosehub.core.logs import log
from primrosehub.kernel._tasks import TaskGroup

T = TypeVar("T")


class Service(Protocol):
    """Define what the kernel requires of each service."""

    def start(self, stack: ExitStack) -> None:
        """Look up other services, spawn tasks and push clean-up onto the stack."""


@dataclass(frozen=True, slots=True)
class ServiceName(Generic[T]):
    """Bind the name of a service to the type of its interface."""

    name: str


class Kernel:
    """Hold the services of one process."""

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.failed = False
        self.stopping = Event()
        self._services: dict[str, Service] = {}

    def load(self, name: ServiceName[Any], factory_path: str) -> None:
        """Create the service at ``module:factory`` and register it."""
        module_name, _, factory_name = factory_path.partition(":")
        factory = getattr(importlib.import_module(module_name), factory_name)
        self.register(name, factory(self))

    def register(self, name: ServiceName[T], service: T) -> None:
        """Register a service; raise ValueError if the name is already taken."""
        if name.name in self._services:
            raise ValueError(f"service {name.name!r} is already registered")
        self._services[name.name] = cast(Service, service)

    def find(self, name: ServiceName[T]) -> T:
        """Return the service with this name; raise LookupError if there is none."""
        if name.name not in self._services:
            known = ", ".join(self._services)
            raise LookupError(f"no service {name.name!r}; registered: {known}")
        return cast(T, self._services[name.name])

    def has(self, name: ServiceName[Any]) -> bool:
        """Return whether this process runs the service."""
        return name.name in self._services

    def tasks(self, stack: ExitStack) -> TaskGroup:
        """Return a task group that is closed when the stack closes."""
        group = TaskGroup(self.fail)
        stack.callback(group.close)
        return group

    def fail(self, task: str, error: BaseException) -> None:
        """Stop the process after the failure of one of its tasks."""
        log("task_failed", task=task, error=repr(error))
        self.failed = True
        self.stopping.set()

    def start(self, stack: ExitStack) -> None:
        """Start all services in their order of registration."""
        for name, service in self._services.items():
            service.start(stack)
            log("service_started", service=name)

    def run(self, before_stop: Callable[[], None]) -> int:
        """Run until SIGTERM, SIGINT or a failed task; return the exit code.

        After a signal, ``before_stop`` is called before the services stop, to finish
        the work in progress.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stopping.set)
        with ExitStack() as stack:
            self.start(stack)
            self.stopping.wait()
            if not self.failed:
                before_stop()
        log("stopped", failed=self.failed)
        return 1 if self.failed else 0
