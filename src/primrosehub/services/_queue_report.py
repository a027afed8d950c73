"""Report the waiting jobs of each queue and the expected wait of a new one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from primrosehub.core.logs import log
from primrosehub.kernel.clock import steady_s
from primrosehub.policy.queue_waits import QueueWait, QueueWaits

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

REPORT_INTERVAL_S = 1.0
MAX_LOGGED_QUEUES = 5  # in one report, those with the longest expected wait


class QueueReport:
    """Keep the metrics of the queues up to date during a term."""

    def __init__(self, term: OwnerTerm) -> None:
        self._term = term
        self._reported: set[str] = set()
        self.waits = QueueWaits(steady_s())

    def run(self) -> None:
        """Report until the term ends."""
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            self.report_once()

    def report_once(self) -> None:
        """Set the metrics of all queues and log those in which jobs wait."""
        now = steady_s()
        waiting = self._term.book.waiting_since()
        queues = {*waiting, *self.waits.queues, *self._reported}
        rows = []
        for queue in queues:
            submitted = waiting.get(queue, [])
            oldest_s = now - min(submitted) if submitted else 0.0
            row = self.waits.estimate(queue, len(submitted), oldest_s, now)
            self._set_metrics(row)
            rows.append(row)
        self._reported = queues
        rows.sort(key=lambda row: -row.expected_s)
        for row in [row for row in rows if row.waiting][:MAX_LOGGED_QUEUES]:
            log(
                "queue_waits",
                queue=row.queue,
                waiting=row.waiting,
                oldest_s=round(row.oldest_s, 1),
                expected_s=round(row.expected_s, 1),
            )

    def clear(self) -> None:
        """Set the metrics to 0, as another daemon reports from now on."""
        for queue in self._reported:
            self._set_metrics(QueueWait(queue, 0, 0.0, 0.0))

    def _set_metrics(self, row: QueueWait) -> None:
        gauge = self._term.metrics.gauge
        gauge("queue_waiting_jobs", row.waiting, queue=row.queue)
        gauge("queue_oldest_wait_seconds", row.oldest_s, queue=row.queue)
        gauge("queue_expected_wait_seconds", row.expected_s, queue=row.queue)
