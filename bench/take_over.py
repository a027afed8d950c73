"""Measure how long no task starts when the daemon that owns the jobs dies or stops."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402
import orjson  # noqa: E402

from primrosehub.kernel.clock import steady_s  # noqa: E402
from primrosehub.services.names import cluster  # noqa: E402
from primrosehub_standins.hub_cell import HubCell  # noqa: E402

SUBMIT_EVERY_S = 0.1
SUBMIT_EVERY_PLANNED_S = 0.02  # planned hand-overs are shorter
PAUSE_S = 2.0  # between a take-over and the next kill


def measure(
    *, kills: int = 20, hubs: int = 4, hosts: int = 8, planned: bool = False
) -> int:
    """Kill or stop the owner repeatedly while jobs arrive; print one JSON line.

    :param kills: how many times to kill the owner, or to stop it
    :param hubs: how many hub daemons
    :param hosts: how many worker hosts
    :param planned: stop the owner as SIGTERM does, and measure from its last start
    """
    waits_s = []
    with HubCell(hubs=hubs, hosts=hosts) as cell:
        cell.leader()
        gevent.sleep(PAUSE_S)
        every_s = SUBMIT_EVERY_PLANNED_S if planned else SUBMIT_EVERY_S
        load = gevent.spawn(_submit, cell, every_s)
        for _ in range(kills):
            waits_s.append(_stop_once(cell) if planned else _kill_once(cell))
        load.kill()
        jobs = sum(key[0] == "job" for key in cell.store.rows)
    waits_s.sort()
    result = {
        "stops" if planned else "kills": kills,
        "hubs": hubs,
        "hosts": hosts,
        "jobs": jobs,
        "p50_s": round(waits_s[len(waits_s) // 2], 2),
        "max_s": round(waits_s[-1], 2),
    }
    print(orjson.dumps(result).decode())
    return 0


def _kill_once(cell: HubCell) -> float:
    leader = cell.leader()
    leader.kill()
    killed_at = steady_s()
    successor = cell.leader()
    cell.until(
        lambda: any(
            event.kind == "start" and event.at > killed_at for event in cell.journal
        ),
        "no task started after the owner was killed",
    )
    started_at = min(
        event.at
        for event in cell.journal
        if event.kind == "start" and event.at > killed_at
    )
    leader.start()
    gevent.sleep(PAUSE_S)
    assert successor.kernel is not None
    return started_at - killed_at


def _stop_once(cell: HubCell) -> float:
    leader = cell.leader()
    assert leader.kernel is not None
    epoch = leader.kernel.find(cluster.OWNERSHIP).known_owner.epoch
    _wait_for_start(cell, epoch)
    stopping: gevent.Greenlet = gevent.spawn(leader.stop)
    _wait_for_start(cell, epoch + 1)
    starts = [event for event in cell.journal if event.kind == "start"]
    wait_s = min(event.at for event in starts if event.epoch > epoch) - max(
        event.at for event in starts if event.epoch == epoch
    )
    stopping.join()
    leader.start()
    gevent.sleep(PAUSE_S)
    return wait_s


def _wait_for_start(cell: HubCell, epoch: int) -> None:
    cell.until(
        lambda: any(
            event.kind == "start" and event.epoch >= epoch for event in cell.journal
        ),
        f"no task was started in epoch {epoch} or later",
    )


def _submit(cell: HubCell, every_s: float) -> None:
    while True:
        for hub in cell.hubs:
            if hub.kernel is not None:
                try:
                    cell.submit(hub)
                except Exception as error:  # noqa: BLE001 - a stopped daemon refuses
                    print(f"not accepted: {error}", file=sys.stderr)
                gevent.sleep(every_s)


if __name__ == "__main__":
    sys.exit(defopt.run(measure))
