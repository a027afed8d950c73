"""Keep each shard's grant, its part of a team's limit, in the table."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass

from primrosehub.border.codec import from_plain, to_plain
from primrosehub.core import keys
from primrosehub.core.logs import log
from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.core.table import (
    ABSENT,
    Applied,
    Conflicted,
    Expect,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
    Transaction,
    Write,
)
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import CONFIGURATION, TABLE, Keys

MAX_COMMIT_TRIES = 4


ComputeAmount = Callable[[Resources, Resources], Resources]


@dataclass(slots=True)
class _Grant:
    amount: Resources = NO_RESOURCES
    version: int = ABSENT


class GrantsService:
    """Raise and shrink grants; raising one never takes a team's sum over its limit.

    A grant and the team's sum of all grants are written in one transaction. A grant in
    memory is never larger than in the table.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._grants: dict[tuple[str, str], _Grant] = {}

    def start(self, stack: ExitStack) -> None:
        """Look up the services that grants need."""
        self._configuration = self._kernel.find(CONFIGURATION)
        self._metrics = self._kernel.find(METRICS)
        self._table = self._kernel.find(TABLE)

    def load(self, shard: str) -> None:
        """Read the shard's grants; raise TableUnavailable."""
        for key in [key for key in self._grants if key[0] == shard]:
            del self._grants[key]
        for row in self._table.read_all(keys.grant(shard)):
            team = row.key.removeprefix(keys.grant(shard))
            amount = from_plain(Resources, row.value)
            self._grants[shard, team] = _Grant(amount, row.version)

    def granted(self, shard: str, team: str) -> Resources:
        """Return the amount that the shard may run for the team."""
        grant = self._grants.get((shard, team))
        return grant.amount if grant else NO_RESOURCES

    def request(self, shard: str, team: str, needed: Resources) -> None:
        """Raise the grant to the needed amount, as far as the team's limit allows."""
        rule = self._configuration.current.teams.get(team)
        limit = rule.limit if rule else NO_RESOURCES

        def raised(grant: Resources, other_shards: Resources) -> Resources:
            more = (needed - grant).clamped_to(limit - other_shards - grant)
            return grant + more

        self._change(shard, team, raised)

    def shrink(self, shard: str, team: str, used: Resources) -> None:
        """Give the unused part of the grant back to the team's limit."""
        grant = self._grants.get((shard, team))
        if grant is None or grant.amount == used:
            return
        # The lower amount applies from now on, even if the write's outcome is unknown.
        grant.amount = used.clamped_to(grant.amount)
        self._change(shard, team, lambda _, __: grant.amount)

    def _change(self, shard: str, team: str, compute_amount: ComputeAmount) -> None:
        try:
            for _ in range(MAX_COMMIT_TRIES):
                if self._try_change(shard, team, compute_amount):
                    return
        except TableUnavailable:
            log(
                "grant_not_changed",
                shard=shard,
                team=team,
                reason="the table is unavailable",
            )
        except TableOutcomeUnknown:
            # The grant in memory keeps the smaller amount. Its version may be
            # outdated, but each change reads the rows first.
            log(
                "grant_not_changed",
                shard=shard,
                team=team,
                reason="the outcome is unknown",
            )

    def _try_change(self, shard: str, team: str, compute_amount: ComputeAmount) -> bool:
        grant_key, sum_key = keys.grant(shard, team), keys.granted(team)
        rows = {row.key: row for row in self._table.read(Keys((grant_key, sum_key)))[0]}
        grant_row, sum_row = rows.get(grant_key), rows.get(sum_key)
        before, granted_sum = _amount(grant_row), _amount(sum_row)
        amount = compute_amount(before, granted_sum - before)
        if amount == before:
            self._grants[shard, team] = _Grant(before, _version(grant_row))
            return True
        transaction = Transaction(
            (
                Expect(grant_key, _version(grant_row)),
                Expect(sum_key, _version(sum_row)),
            ),
            (
                Write(grant_key, to_plain(amount)),
                Write(sum_key, to_plain(granted_sum - before + amount)),
            ),
        )
        match self._table.commit(transaction):
            case Applied(version):
                self._grants[shard, team] = _Grant(amount, version)
                self._metrics.count("grants_changed")
                return True
            case Conflicted():
                return False


def _amount(row: Row | None) -> Resources:
    return from_plain(Resources, row.value) if row else NO_RESOURCES


def _version(row: Row | None) -> int:
    return row.version if row else ABSENT
