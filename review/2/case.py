"""The progress of a job that repeats grows beyond what a row of the store holds."""

import sys
import time
from base64 import b64decode
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, CouldNotRun, gevent, run_case

from primrosehub_standins.row_store import RowStoreStandin, StoreEndpoint
from primrosehub_standins.web import StartResponse, reply_json

MAX_ROW_BYTES = 65_536
REPETITIONS = 20_000 if TROUBLE else 1_000
INTERVAL_MS = 8
ACK_TIMEOUT_S = 4.0
FINISH_S = 14.0


class LimitedStore(RowStoreStandin):
    """Refuse rows that are larger than the settings say, as the pages do."""

    refused: int = 0

    def _transact(
        self, endpoint: StoreEndpoint, body: Any, start: StartResponse
    ) -> list[bytes]:
        sizes = [len(b64decode(row["value"])) for row in body["write"]]
        if max(sizes, default=0) > MAX_ROW_BYTES:
            LimitedStore.refused += 1
            return reply_json(start, {"reason": "row too large"}, "400 Bad Request")
        return super()._transact(endpoint, body, start)


def play(case: Case) -> list[str]:
    """Run a job that repeats; then see whether another job's end is noted."""
    cell = case.cell
    step = {"count": 2, "cpu": 500, "mem-mb": 64, "estimated-runtime-ms": 50}
    job = case.submit(
        case.follower(),
        step,
        spec="run 0.05",
        **{
            "repetitions": REPETITIONS,
            "interval-ms": INTERVAL_MS,
            "start-time-ms": int(time.time() * 1000),
        },
    )
    ended = 2 * REPETITIONS

    def is_stuck_or_over() -> bool:
        return LimitedStore.refused > 0 or len(cell.starts(job)) >= ended

    case.until(is_stuck_or_over, "the job did not get on", 80.0)
    done = sum(event.kind == "done" for event in cell.journal)
    case.note(
        f"{done} of {ended} tasks are done; rows refused as too large: "
        f"{LimitedStore.refused}"
    )
    other = case.submit(
        case.follower(),
        {"count": 1, "cpu": 1000, "mem-mb": 64, "estimated-runtime-ms": 300},
        spec="run 0.3",
    )
    return breaks_of(case, other)


def breaks_of(case: Case, job: str) -> list[str]:
    """Return what is wrong with a job of one task, which is done after 0.3 s."""
    cell = case.cell

    def done() -> Any:
        ends = (event for event in cell.journal if event.kind == "done")
        return next((event for event in ends if event.task.startswith(job)), None)

    end = case.until(done, f"the task of {job} did not run")
    case.note(f"{end.task} ended done on {end.host}")
    host = next(one for one in cell.hosts if one.host == end.host)
    began = time.monotonic()
    acked_s = shown_s = None
    while time.monotonic() - began < FINISH_S:
        now_s = time.monotonic() - began
        if acked_s is None and all(row[1] != end.task for row in host._ends):
            acked_s = now_s
        if shown_s is None and case.state(case.follower(), job) == "completed":
            shown_s = now_s
        if acked_s is not None and shown_s is not None:
            break
        gevent.sleep(0.25)
    listed = sum(len(one._ends) for one in cell.hosts)
    case.note(
        f"the end was noted after {acked_s} s and shown after {shown_s} s; "
        f"{listed} ends are listed and not noted; refused rows: {LimitedStore.refused}"
    )
    breaks = []
    if acked_s is None or acked_s > ACK_TIMEOUT_S:
        breaks.append(f"the end of {end.task} was not noted within {ACK_TIMEOUT_S} s")
    if shown_s is None:
        shown = case.state(case.follower(), job)
        breaks.append(f"{job} is shown as {shown} {FINISH_S} s after its end")
    if LimitedStore.refused == 0 and breaks:
        raise CouldNotRun("the daemons were too slow, and no row was refused")
    return breaks


if __name__ == "__main__":
    run_case(__file__, hosts=3, daemons=3, play=play, store=LimitedStore())
