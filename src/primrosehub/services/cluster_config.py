"""The operators' configuration, in the highest version that store or peers have."""

from __future__ import annotations

from contextlib import ExitStack

import gevent

from primrosehub.core.clusterconfig import ClusterConfig
from primrosehub.core.logs import log
from primrosehub.core.peering import AskConfig, ConfigIs
from primrosehub.core.rows import HistoryLost, RowKey, StoreRefused
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.platform.operator import MAX_DESCRIBED_PROBLEMS, decode_config
from primrosehub.platform.wire import CONFIG_KEY, OPERATOR_TABLE
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING, STORE, PeerSilent

FEED_WAIT_S = 1.0  # half the limit for applying a change, to detect a silent feed
READ_INTERVAL_S = 0.9  # limits the delay that a lagging feed can cause
RETRY_INTERVAL_S = 0.25
PEER_CHECK_INTERVAL_S = 0.2
MAX_PONG_AGE_S = 1.5
PEER_TIMEOUT_S = 0.5
_CONFIG_ROW = RowKey(OPERATOR_TABLE, "", CONFIG_KEY)


class ClusterConfigService:
    """Hold the newest version of the operators' configuration known to this daemon."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._current = ClusterConfig()
        self._unreadable_text: bytes | None = None

    @property
    def current(self) -> ClusterConfig:
        """Return the configuration in force."""
        return self._current

    def start(self, stack: ExitStack) -> None:
        """Start following the store and the peers."""
        self._store = self._kernel.find(STORE)
        self._peering = self._kernel.find(PEERING)
        self._metrics = self._kernel.find(METRICS)
        self._peering.register_handler(
            AskConfig, lambda _: ConfigIs(self._current.text)
        )
        tasks = self._kernel.tasks(stack)
        tasks.spawn("config-feed", self._follow_feed)
        tasks.spawn("config-read", self._read_repeatedly)
        tasks.spawn("config-peers", self._follow_peers)

    def offer(self, text: bytes, source: str) -> None:
        """Apply a configuration if it is newer than the current one."""
        # The store and the peers are read again and again, and decoding takes long.
        if text in (self._current.text, self._unreadable_text):
            return
        try:
            config, problems = decode_config(text)
        except ValueError as error:
            log("config_unreadable", source=source, reason=str(error)[:300])
            self._unreadable_text = text
            return
        if config.version > self._current.version:
            log(
                "config_in_force",
                version=config.version,
                before=self._current.version,
                source=source,
                queues=len(config.queues),
                teams=len(config.teams),
            )
            for problem in problems[:MAX_DESCRIBED_PROBLEMS]:
                log(
                    "config_part_unreadable",
                    version=config.version,
                    parts=len(problems),
                    reason=problem[:300],
                )
            self._current = config
            self._metrics.gauge("config_version", config.version)
            self._peering.ping_now()

    def _follow_feed(self) -> None:
        after = self._read_until_answered()
        while True:
            try:
                page = self._store.changes(OPERATOR_TABLE, after, FEED_WAIT_S)
            except HistoryLost:
                log("config_history_lost", after=after)
                after = self._read_until_answered()
            except StoreRefused:
                gevent.sleep(RETRY_INTERVAL_S)
            else:
                for row in page.rows:
                    if row.key == _CONFIG_ROW and not row.deleted:
                        self.offer(row.value, "feed")
                after = max(after, page.version)

    def _read_until_answered(self) -> int:
        while True:
            try:
                return self._read()
            except StoreRefused:
                gevent.sleep(RETRY_INTERVAL_S)

    def _read_repeatedly(self) -> None:
        while True:
            gevent.sleep(READ_INTERVAL_S)
            try:
                self._read()
            except StoreRefused:
                continue  # the store service logs this; the peers are still asked

    def _read(self) -> int:
        page = self._store.read_part(OPERATOR_TABLE, "")
        for row in page.rows:
            if row.key == _CONFIG_ROW:
                self.offer(row.value, "read")
        return page.version

    def _follow_peers(self) -> None:
        while True:
            started_at = steady_s()
            newest = max(
                self._peering.recent_pongs(MAX_PONG_AGE_S),
                key=lambda pong: pong.config_version,
                default=None,
            )
            if newest and newest.config_version > self._current.version:
                self._fetch_from_peer(newest.sender.name)
            gevent.sleep(max(0.0, PEER_CHECK_INTERVAL_S - (steady_s() - started_at)))

    def _fetch_from_peer(self, name: str) -> None:
        try:
            answer = self._peering.call(name, AskConfig(), PEER_TIMEOUT_S)
        except PeerSilent as error:
            log("config_not_received", peer=name, reason=str(error))
            return
        if isinstance(answer, ConfigIs):
            self.offer(answer.text, f"peer {name}")
