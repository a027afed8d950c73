"""The settings and platform services that the operators' commands use."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

from primrosehub.border.settings import (
    OperatorSettings,
    SettingsError,
    read_settings,
)
from primrosehub.core.errors import HubError
from primrosehub.core.table import TableOutcomeUnknown, TableUnavailable
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS, v1

MANIFEST = (
    (METRICS, "primrosehub.services.metrics:MetricsRegistry"),
    (v1.TABLE, "primrosehub.services.table:TableClient"),
    (v1.OBJECTS, "primrosehub.services.objects:ObjectsClient"),
    (v1.HOST_LIST, "primrosehub.services.host_list:HostListClient"),
)


class OperatorError(Exception):
    """Tell the operator what went wrong and what to do."""


@dataclass(frozen=True, slots=True)
class PlatformServices:
    """Hold the clients of the platform's services."""

    table: v1.Table
    objects: v1.Objects
    host_list: v1.HostList


@contextmanager
def platform(settings: Path) -> Iterator[PlatformServices]:
    """Open the platform's services; raise OperatorError if one is unavailable."""
    try:
        kernel = Kernel(read_settings(OperatorSettings, settings))
        for name, factory in MANIFEST:
            kernel.load(name, factory)
        with ExitStack() as stack:
            kernel.start(stack)
            yield PlatformServices(
                kernel.find(v1.TABLE),
                kernel.find(v1.OBJECTS),
                kernel.find(v1.HOST_LIST),
            )
    except SettingsError as error:
        raise OperatorError(str(error)) from None
    except HubError as error:
        raise OperatorError(error.detail) from None
    except TableUnavailable as error:
        raise OperatorError(
            f"the table is unavailable: {error}; nothing was changed; try again"
        ) from None
    except TableOutcomeUnknown:
        raise OperatorError(
            "the table gave no response, so the change may have been made; "
            "'primrosehub rules show' prints the rules in force"
        ) from None
