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


def sum_in(table):
    row = table.rows.get(keys.granted("blue"))
    return from_plain(Resources, row.value) if row else NO_RESOURCES


def test_two_owners_never_get_more_than_the_limit():
    table = FakeTable()
    one, two = a_ledger(table), a_ledger(table)
    one.request("a", "blue", a_size(10, 10))
    two.request("b", "blue", a_size(10, 10))
    assert one.granted("a", "blue") == a_size(10, 10)
    assert two.granted("b", "blue") == a_size(6, 10)
    assert sum_in(table) == a_size(16, 20)


def test_what_is_given_back_can_be_granted_again():
    table = FakeTable()
    one, two = a_ledger(table), a_ledger(table)
    one.request("a", "blue", LIMIT)
    one.shrink("a", "blue", a_size(1, 1))
    two.request("b", "blue", LIMIT)
    assert two.granted("b", "blue") == a_size(15, 63)


def test_a_lowered_limit_grants_nothing_more():
    table = FakeTable()
    a_ledger(table).request("a", "blue", a_size(12, 12))
    lowered = a_ledger(table, parse_rules(a_rule_file(cpus=8)))
    lowered.request("b", "blue", a_size(4, 4))
    assert lowered.granted("b", "blue").cpu_m == 0


@pytest.mark.parametrize("seed", range(20))
def test_lost_replies_and_outages_never_pass_the_limit(seed):
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
        held = total([ledgers[s].granted(s, "blue") for s in "abc"])
        assert held.fits_in(LIMIT)
        assert sum_in(table).fits_in(LIMIT)
