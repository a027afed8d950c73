"""Keep the newest configuration, from the table or from peers."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import ExitStack

from gevent.event import Event

from primrosehub.border.rule_file import RulesError, parse_rules
from primrosehub.core import keys
from primrosehub.core.logs import log
from primrosehub.core.members import PeerNews
from primrosehub.core.rules import Configuration
from primrosehub.core.table import TableUnavailable
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import MEMBERSHIP, PEERS, TABLE, Keys


class ConfigurationPoller:
    """Poll the table for newer configuration versions; never return to an older one."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._timing = kernel.settings.timing
        self._seed_count = len(kernel.settings.seed_peers)
        self._check_requested = Event()
        self._current = Configuration()

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def trusted(self) -> bool:
        """Return whether this daemon cannot have missed a newer version.

        This daemon must have read the table in the last ``config_stale_s`` seconds.
        Failing that, no peer may report a newer version, and either a peer has read
        the table in that time, or most of the known daemons are in contact and none
        of them can read it.
        """
        if self._current.version == 0:
            return False
        if self._table.age_s <= self._timing.config_stale_s:
            return True
        peers = self._kernel.find(PEERS)
        stale_s = self._timing.config_stale_s
        news = peers.recent_news(stale_s)
        known = len(self._kernel.find(MEMBERSHIP).view.known)
        known = max(known, self._seed_count + 1)
        return is_trusted(self._current.version, news, known, stale_s)

    def start(self, stack: ExitStack) -> None:
        """Read the version once, then start the task that polls it."""
        self._table = self._kernel.find(TABLE)
        self._metrics = self._kernel.find(METRICS)
        self._poll()
        self._kernel.tasks(stack).spawn("configuration", self._run)

    def offer(self, version: int, text: str) -> None:
        """Apply a version received from a peer, if it is newer."""
        if version <= self._current.version:
            return
        try:
            self._current = parse_rules(text, version)
        except RulesError as error:
            log("configuration_malformed", version=version, reason=str(error)[:400])
            return
        self._metrics.gauge("config_version", version)
        log("configuration_in_force", version=version)

    def check_now(self) -> None:
        """Trigger an immediate read of the version in the table."""
        self._check_requested.set()

    def _run(self) -> None:
        while True:
            self._check_requested.wait(self._timing.config_poll_s)
            self._check_requested.clear()
            self._poll()

    def _poll(self) -> None:
        try:
            rows = self._table.read(Keys((keys.CONFIG_VERSION,)))[0]
            version = rows[0].value["version"] if rows else 0
            if version > self._current.version:
                text_rows = self._table.read(Keys((keys.config_text(version),)))[0]
                self.offer(version, text_rows[0].value["text"])
        except TableUnavailable:
            return


def is_trusted(
    version: int, news: Sequence[PeerNews], known: int, stale_s: float
) -> bool:
    """Decide from the peers' news; see ``ConfigurationPoller.trusted``."""
    if any(item.config_version > version for item in news):
        return False
    if any(item.table_age_s <= stale_s for item in news):
        return True
    return 2 * (len(news) + 1) > known
