"""Measure how long no task starts after the hub daemon that owns the jobs dies."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402
import orjson  # noqa: E402

from primrosehub.kernel.clock import steady_s  # noqa: E402
from primrosehub_standins.hub_cell import HubCell  # noqa: E402

SUBMIT_EVERY_S = 0.1
PAUSE_S = 2.0  # between a take-over and the next kill


def measure(*, kills: int = 20, hubs: int = 4, hosts: int = 8) -> int:
    """Kill the owner repeatedly while jobs arrive; print one JSON line.

    :param kills: how many times to kill the owner
    :param hubs: how many hub daemons
    :param hosts: how many worker hosts
    """
    waits_s = []
    with HubCell(hubs=hubs, hosts=hosts) as cell:
        cell.leader()
        gevent.sleep(PAUSE_S)
        load = gevent.spawn(_submit, cell)
        for _ in range(kills):
            waits_s.append(_kill_once(cell))
        load.kill()
    waits_s.sort()
    result = {
        "kills": kills,
        "hubs": hubs,
        "hosts": hosts,
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


def _submit(cell: HubCell) -> None:
    while True:
        for hub in cell.hubs:
            if hub.kernel is not None:
                try:
                    cell.submit(hub)
                except Exception as error:  # noqa: BLE001 - a killed daemon refuses
                    print(f"not accepted: {error}", file=sys.stderr)
                gevent.sleep(SUBMIT_EVERY_S)


if __name__ == "__main__":
    sys.exit(defopt.run(measure))
