"""The worker hosts by which an owner without the store, and its successor, go."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from primrosehub.border.codec import decode, encode
from primrosehub.core.logs import log
from primrosehub.core.rows import PutRow, StoredRow
from primrosehub.policy.isolation import orders_end_at
from primrosehub.services._job_rows import WITNESSES_KEY


class Witnesses:
    """Hold the stored witnesses of a term and which hosts have answered it.

    ``stored`` is None while they are not known. They may be changed only once nothing
    that earlier owners started is unaccounted for, since an earlier owner relies on
    the witnesses that it knows.
    """

    def __init__(self, began_at: float) -> None:
        self.stored: frozenset[str] | None = None
        self._began_at = began_at
        self._in_doubt: frozenset[str] | None = None
        self._informed_at: dict[str, float] = {}

    @property
    def electorates(self) -> tuple[frozenset[str], ...]:
        """Return the sets of hosts of each of which more than half have to answer."""
        sets = (self.stored or frozenset(), self._in_doubt)
        return tuple(one for one in sets if one is not None)

    @property
    def earlier_orders_end_at(self) -> float:
        """Return from when no earlier owner sends orders."""
        return orders_end_at(self.stored, self._informed_at, self._began_at)

    def load(self, row: StoredRow | None, roster: Iterable[str] | None) -> None:
        """Take the stored witnesses.

        Without a row they are the hosts of the roster, None if it is unreadable.
        """
        try:
            names = roster if row is None else decode(list[str], row.value)
        except ValueError as error:
            log("witnesses_unreadable", version=row.version, reason=str(error)[:200])
            return
        self.stored = None if names is None else frozenset(names)

    def note_informed(self, host: str, now: float) -> None:
        """Record that a host has answered, and so refuses earlier owners."""
        self._informed_at.setdefault(host, now)

    @contextmanager
    def change_to(self, hosts: frozenset[str]) -> Iterator[PutRow]:
        """Provide the write of other witnesses; they hold once it has succeeded.

        Until its outcome is known, the present and the other ones have to confirm.
        """
        self._in_doubt = hosts
        try:
            yield PutRow(WITNESSES_KEY, encode(sorted(hosts)))
            self.stored = hosts
        finally:
            self._in_doubt = None
        log("witnesses_changed", count=len(hosts))
