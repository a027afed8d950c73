"""What a soak does to the system and when, as a seed draws it."""

from __future__ import annotations

import random

from primrosehub_standins.soak.plan import (
    ALL_DAEMONS,
    CutHost,
    CutLink,
    CutNodes,
    CutOwner,
    CutZone,
    FreezeDaemon,
    Isolation,
    KillDaemon,
    KillOwner,
    LoseStoreAnswers,
    Plan,
    RefuseStoreCalls,
    ReloadDaemon,
    RemoveRoute,
    RestartHost,
    SlowStore,
    StopDaemon,
    Trouble,
    check_plan,
    encode_plan,
)

MIN_PAUSE_S, MAX_PAUSE_S = 0.4, 2.5  # between the beginnings of two troubles
TEARDOWN_S = 4.0  # at the end of a run, without new trouble
DRAWN_ZONES = 4
LONG_SHARE = 0.03  # of the jobs
KEEP_STORE_SHARE = 0.2  # of the drawn isolations
CALM_SHARE = 0.75  # of the drawn isolations: no daemon and no call is harmed besides


def draw_plan(
    seed: int, seconds: float, daemons: int = 3, hosts: int = 8, jobs_per_s: float = 6.0
) -> Plan:
    """Return the plan of a seed; raise ValueError if a size is beyond its bounds."""
    check_plan(encode_plan(Plan(seed, seconds, daemons, hosts, jobs_per_s)))
    choices = random.Random(seed)
    troubles: list[Trouble] = []
    at_s = choices.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while at_s < seconds - TEARDOWN_S:
        troubles.append(_draw_trouble(choices, round(at_s, 3), daemons, hosts))
        at_s += choices.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    choices = random.Random(f"isolations of {seed}")
    for isolation in _draw_isolations(choices, seconds, daemons, hosts):
        if choices.random() < CALM_SHARE:
            troubles = [one for one in troubles if not _disturbs(one, isolation)]
        troubles.append(isolation)
    troubles.sort(key=lambda trouble: trouble.at_s)
    drawn = (DRAWN_ZONES, LONG_SHARE, tuple(troubles))
    return Plan(seed, seconds, daemons, hosts, jobs_per_s, *drawn)


def _draw_trouble(
    choices: random.Random, at_s: float, daemons: int, hosts: int
) -> Trouble:
    daemon, host = choices.randrange(daemons), choices.randrange(hosts)
    for_s = choices.choice((0.1, 0.3, 0.5, 1.0, 2.0, 4.5))
    some_or_all = choices.choice((daemon, ALL_DAEMONS))
    how = choices.choice(("busy", "silent", "reset"))
    # What has found most stands in the list more than once.
    return choices.choice(
        (
            RestartHost(at_s, host, for_s),
            RestartHost(at_s, host, min(for_s, 0.5)),
            RestartHost(at_s, (host + 1) % hosts, for_s),
            CutHost(at_s, host, choices.choice((2.0, 4.5, 8.0))),
            CutHost(at_s, (host + 2) % hosts, choices.choice((4.5, 8.0))),
            KillOwner(at_s, min(for_s, 1.0)),
            KillDaemon(at_s, daemon, min(for_s, 1.0)),
            KillDaemon(at_s, ALL_DAEMONS, min(for_s, 2.0)),
            StopDaemon(at_s, daemon),
            ReloadDaemon(at_s, daemon),
            FreezeDaemon(at_s, daemon, for_s),
            RefuseStoreCalls(at_s, some_or_all, for_s, how),
            SlowStore(at_s, for_s, choices.choice((0.1, 0.3, 0.8))),
            LoseStoreAnswers(at_s, choices.randint(1, 4)),
            RemoveRoute(at_s, min(for_s, 2.0)),
        )
    )


def _disturbs(trouble: Trouble, isolation: Isolation) -> bool:
    """Tell whether a trouble would end what an isolation lets daemons do."""
    match trouble:
        case RestartHost() | CutHost() | ReloadDaemon() | RemoveRoute():
            return False
        case _:
            from_s = isolation.at_s - MAX_PAUSE_S
            return from_s <= trouble.at_s <= isolation.at_s + isolation.for_s


def _draw_isolations(
    choices: random.Random, seconds: float, daemons: int, hosts: int
) -> list[Isolation]:
    """Draw isolations that follow each other, so that some daemons always serve."""
    isolations: list[Isolation] = []
    at_s = choices.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while True:
        isolation = _draw_isolation(choices, round(at_s, 3), daemons, hosts)
        at_s += isolation.for_s
        if at_s > seconds - TEARDOWN_S:
            return isolations
        isolations.append(isolation)
        at_s += choices.uniform(2 * MAX_PAUSE_S, 4 * MAX_PAUSE_S)


def _draw_isolation(
    choices: random.Random, at_s: float, daemons: int, hosts: int
) -> Isolation:
    daemon, host = choices.randrange(daemons), choices.randrange(hosts)
    for_s = choices.choice((2.0, 6.0, 12.0, 15.0, 15.0))
    most = max(0, daemons - 2)  # beside the owner, so that some daemon stays outside
    companions = choices.randint(min(1, most), most)
    cut_off = tuple(sorted(choices.sample(range(daemons), companions)))
    hosts_cut_off = tuple(sorted({host, (host + DRAWN_ZONES) % hosts}))
    other = choices.choice((f"hub-{(daemon + 1) % daemons}", f"i-{host}", "store"))
    how = (choices.choice(("both", "both", "both", "outgoing", "incoming")),)
    how += (choices.random() < KEEP_STORE_SHARE,)
    # What has found most stands in the list more than once.
    return choices.choice(
        (
            CutZone(at_s, daemon % DRAWN_ZONES, for_s, *how),
            CutOwner(at_s, 0, choices.randint(0, 2), for_s, *how),
            CutOwner(at_s, min(1, most), choices.randint(1, 2), for_s, *how),
            CutOwner(at_s, companions, choices.randint(1, 2), for_s, *how),
            CutOwner(at_s, companions, choices.randint(1, 2), max(for_s, 12.0), *how),
            CutNodes(at_s, cut_off, hosts_cut_off, for_s, *how),
            CutLink(at_s, daemon, other, for_s, how[0]),
        )
    )
