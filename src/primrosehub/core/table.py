"""Rows, transactions and outcomes of the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

ABSENT = 0  # the expected version of a row that must not exist


@dataclass(frozen=True, slots=True)
class Row:
    """Hold a row as read; each write to the table uses a higher ``version``."""

    key: str
    value: dict[str, Any]
    version: int


@dataclass(frozen=True, slots=True)
class Expect:
    """Require that a row has this version, or is absent with ``ABSENT``."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write a value to a row, or delete the row if the value is None."""

    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes if all expectations hold, otherwise none."""

    expects: tuple[Expect, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Applied:
    """Report that the transaction was applied and gave its rows this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Report that nothing was written; ``keys`` are the rows that differed."""

    keys: tuple[str, ...]


CommitOutcome = Applied | Conflicted


class TableUnavailable(Exception):
    """Signal that the table gave no answer; a write had no effect."""


class TableOutcomeUnknown(Exception):
    """Signal that a write was sent and its outcome could not be read back."""
