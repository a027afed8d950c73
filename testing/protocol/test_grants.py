import random
from contextlib import ExitStack

import pytest

from primrosehub.border.codec import from_plain
from primrosehub.border.rule_file import parse_rules
from primrosehub.core import keys
from primrosehub.core.resources import NO_RESOURCES, Resources, total
from primrosehub.services.grants import GrantsService
from primrosehub.services.names import METRICS, v1
from testing.builders import a_rule_file, a_size
from testing.fakes import FakeConfiguration, FakeKernel, FakeMetrics, FakeTable

LIMIT = a_size(16, 64)


def a_ledger(table, config=None):
    services = {
        v1.TABLE: table,
        METRICS: FakeMetrics(),
        v1.CONFIGURATION: FakeConfiguration(config or parse_rules(a_rule_file())),
    }
    ledger = GrantsService(FakeKernel(services))
    ledger.start(ExitStack())
    return ledger


def stored_sum(table):
    row = table.rows.get(keys.granted("blue"))
    return from_plain(Resources, row.value) if row else NO_RESOURCES


def test_two_owners_never_get_more_than_the_limit():
    table = FakeTable()
    first, second = a_ledger(table), a_ledger(table)
    first.request("a", "blue", a_size(10, 10))
    second.request("b", "blue", a_size(10, 10))
    assert first.granted("a", "blue") == a_size(10, 10)
    assert second.granted("b", "blue") == a_size(6, 10)
    assert stored_sum(table) == a_size(16, 20)


def test_a_returned_amount_can_be_granted_to_another_shard():
    table = FakeTable()
    first, second = a_ledger(table), a_ledger(table)
    first.request("a", "blue", LIMIT)
    first.shrink("a", "blue", a_size(1, 1))
    second.request("b", "blue", LIMIT)
    assert second.granted("b", "blue") == a_size(15, 63)


def test_a_lowered_limit_grants_nothing_more():
    table = FakeTable()
    a_ledger(table).request("a", "blue", a_size(12, 12))
    lowered = a_ledger(table, parse_rules(a_rule_file(cpus=8)))
    lowered.request("b", "blue", a_size(4, 4))
    assert lowered.granted("b", "blue").cpu_m == 0


@pytest.mark.parametrize("seed", range(20))
def test_grants_stay_within_the_limit_despite_lost_replies_and_outages(seed):
    """Let three owners change grants at random while commits fail at random."""
    source = random.Random(seed)
    table = FakeTable()
    table.failure_for = lambda _: source.choice(
        [None, None, "reply lost", "unavailable"]
    )
    ledgers = {shard: a_ledger(table) for shard in "abc"}
    for _ in range(200):
        shard = source.choice("abc")
        if source.random() < 0.1:
            ledgers[shard] = a_ledger(table)
            ledgers[shard].load(shard)
        amount = a_size(source.randrange(12), source.randrange(12))
        change = source.choice(["request", "shrink"])
        getattr(ledgers[shard], change)(shard, "blue", amount)
        granted = total([ledgers[s].granted(s, "blue") for s in "abc"])
        assert granted.fits_in(LIMIT)
        assert stored_sum(table).fits_in(LIMIT)
