"""Rows, transactions and outcomes of the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """Hold a row as read; ``version`` grows with every write of the table."""

    key: str
    value: dict[str, Any]
    version: int


@dataclass(frozen=True, slots=True)
class Expect:
    """Require a row's version, or its absence with ``ABSENT``."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Put a value at a key, or delete the row with None."""

    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes if all expectations hold, else none."""

    expects: tuple[Expect, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Applied:
    """Say that the transaction took effect and gave its rows this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Say that the transaction took no effect; name the keys that differed."""

    keys: tuple[str, ...]


CommitOutcome = Applied | Conflicted


class TableUnavailable(Exception):
    """Say that the table gave no answer and the write took no effect."""


class TableOutcomeUnknown(Exception):
    """Say that a write was sent and its outcome could not be read back."""
