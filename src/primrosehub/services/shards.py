"""Decide which daemon owns which shards, by epochs in the table."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass

from primrosehub.border.codec import to_plain
from primrosehub.core import keys
from primrosehub.core.logs import log
from primrosehub.core.members import Member, ShardOwner
from primrosehub.core.rendezvous import choose, shard_names
from primrosehub.core.table import (
    ABSENT,
    Applied,
    Conflicted,
    Expect,
    TableOutcomeUnknown,
    TableUnavailable,
    Transaction,
    Write,
)
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import DISPATCH, MEMBERSHIP, PEERS, TABLE, CellView


@dataclass(frozen=True, slots=True)
class NoChange:
    """Change nothing about the shard."""


@dataclass(frozen=True, slots=True)
class Take:
    """Become the shard's owner with a higher epoch."""

    epoch: int
    version: int
    released: bool


@dataclass(frozen=True, slots=True)
class Release:
    """Release the shard to the daemon that should own it."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Stop acting as the owner: the table names another owner."""


Step = NoChange | Take | Release | Drop


def next_step(
    row: tuple[ShardOwner, int] | None,
    shard: str,
    own_member: Member,
    live: tuple[Member, ...],
    held_epoch: int | None,
) -> Step:
    """Decide what this daemon does about one shard.

    ``held_epoch`` is the epoch for which this daemon acts as the shard's owner, if any.
    """
    schedulers = {m.name: m for m in live if m.role == "scheduler" and not m.leaving}
    preferred = schedulers.get(choose(schedulers, shard) or "")
    should_own = (
        preferred is not None and preferred.incarnation == own_member.incarnation
    )
    owner, version = row or (ShardOwner("", 0), ABSENT)
    if owner.owner == own_member.incarnation:
        if held_epoch != owner.epoch:
            return Take(owner.epoch + 1, version, released=False)
        return NoChange() if should_own or preferred is None else Release()
    if held_epoch is not None:
        return Drop()
    owner_is_live = any(m.incarnation == owner.owner for m in live)
    if should_own and not owner_is_live:
        return Take(owner.epoch + 1, version, released=not owner.owner)
    return NoChange()


class ShardsService:
    """Acquire and release shards as the view of the cell changes."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings
        self._held_epochs: dict[str, int] = {}
        self._written_versions: dict[str, int] = {}
        self._leaving = False

    def start(self, stack: ExitStack) -> None:
        """Spawn the task that checks the layout and then acts on each view."""
        self._dispatch = self._kernel.find(DISPATCH)
        self._membership = self._kernel.find(MEMBERSHIP)
        self._metrics = self._kernel.find(METRICS)
        self._peers = self._kernel.find(PEERS)
        self._table = self._kernel.find(TABLE)
        self._kernel.tasks(stack).spawn("shards", self._run)

    def release_all(self) -> None:
        """Release all shards to other daemons."""
        self._leaving = True
        for shard in list(self._held_epochs):
            self._release(shard, self._membership.view)
        self._peers.notify_shards()

    def _run(self) -> None:
        self._check_layout()
        number = 0
        while not self._leaving:
            view = self._membership.next_view(number, self._settings.timing.renew_s)
            if view.number == number:
                continue
            number = view.number
            for shard in shard_names(self._settings.region, self._settings.shards):
                self._apply_next_step(shard, view)
            self._metrics.gauge("shards_held", len(self._held_epochs))

    def _check_layout(self) -> None:
        """Raise ValueError if the settings name another number of shards."""
        key = keys.layout(self._settings.region)
        layout = {"shards": self._settings.shards}
        insert = Transaction((Expect(key, ABSENT),), (Write(key, layout),))
        while True:
            try:
                if isinstance(self._table.commit(insert), Applied):
                    return
                stored = self._table.read_all(key)[0].value
                break
            except (TableUnavailable, TableOutcomeUnknown) as error:
                log("layout_not_checked", reason=str(error))
        if stored != layout:
            raise ValueError(
                f"this cell has {stored['shards']} shards; set 'shards' in the "
                f"settings to that, not to {layout['shards']}"
            )

    def _apply_next_step(self, shard: str, view: CellView) -> None:
        if self._leaving:
            return
        row = view.owners.get(shard)
        if (row[1] if row else ABSENT) < self._written_versions.get(shard, ABSENT):
            # The view was read before this daemon's last write of the row.
            return
        held_epoch = self._held_epochs.get(shard)
        match next_step(row, shard, self._membership.own_member, view.live, held_epoch):
            case NoChange():
                return
            case Take(epoch, version, released):
                self._take(shard, epoch, version, released)
            case Release():
                self._release(shard, view)
                self._peers.notify_shards()
            case Drop():
                log("shard_lost", shard=shard)
                self._stop_acting(shard)

    def _take(self, shard: str, epoch: int, version: int, released: bool) -> None:
        self._stop_acting(shard)
        owner = ShardOwner(self._membership.own_member.incarnation, epoch)
        outcome = self._write(shard, owner, version)
        match outcome:
            case Applied(new_version):
                self._held_epochs[shard] = epoch
                log("shard_taken", shard=shard, epoch=epoch)
                self._metrics.count("shards_taken")
                self._dispatch.acquire(shard, epoch, new_version, released)
            case Conflicted() | None:
                self._membership.refresh()

    def _release(self, shard: str, view: CellView) -> None:
        epoch = self._held_epochs[shard]
        self._stop_acting(shard)
        row: Mapping[str, tuple[ShardOwner, int]] = view.owners
        if shard in row and row[shard][0].epoch == epoch:
            self._write(shard, ShardOwner("", epoch), row[shard][1])
            log("shard_released", shard=shard, epoch=epoch)

    def _stop_acting(self, shard: str) -> None:
        if self._held_epochs.pop(shard, None) is not None:
            self._dispatch.release(shard)

    def _write(
        self, shard: str, owner: ShardOwner, version: int
    ) -> Applied | Conflicted | None:
        key = keys.shard(shard)
        transaction = Transaction(
            (Expect(key, version),), (Write(key, to_plain(owner)),)
        )
        try:
            outcome = self._table.commit(transaction)
            if isinstance(outcome, Applied):
                self._written_versions[shard] = outcome.version
            return outcome
        except (TableUnavailable, TableOutcomeUnknown) as error:
            log("shard_not_written", shard=shard, reason=str(error))
            return None
