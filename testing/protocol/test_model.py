import re
from dataclasses import fields
from pathlib import Path

import pytest
from model import grants, hub, isolation, ownership
from model.check import check, guard_names

from primrosehub.core import members, platform

DOCS = Path(__file__).parents[2] / "docs"
MESSAGES = {"SyncRequest", "SyncReply", "StartTask", "Changes", "PeerNews"}


def test_no_shard_of_a_team_passes_its_part():
    found = check(grants, 0, exhaustive=True, without=None)
    assert found.complete
    assert found.violation is None


@pytest.mark.parametrize("guard", guard_names(grants))
def test_every_guard_of_grants_is_needed(guard):
    assert check(grants, 0, exhaustive=True, without=guard).violation


def test_a_take_over_keeps_the_promises_in_every_order_of_events():
    found = check(ownership, 0, exhaustive=True, without=None)
    assert found.complete
    assert found.violation is None


@pytest.mark.parametrize("guard", ["epoch_fence", "wait_for_lapse"])
def test_a_take_over_needs_its_guards(guard):
    assert check(ownership, 0, exhaustive=False, without=guard).violation


def step_names():
    """Return the names of the steps within five steps of the initial state."""
    names, frontier = set(), {ownership.SCOPES[2].initial()}
    guards = ownership.Guards(ownership.SCOPES[2])
    for _ in range(5):
        steps = [step for state in frontier for step in ownership.steps(state, guards)]
        names |= {name for name, _ in steps}
        frontier = {state for _, state in steps}
    return names


def test_the_specification_speaks_of_the_messages_that_the_code_sends():
    named = set(re.findall(r"\b[A-Z][a-z]+[A-Z][a-z]+\b", " ".join(step_names())))
    assert named == {"SyncRequest", "SyncReply", "StartTask"}
    for name in MESSAGES:
        assert hasattr(platform, name) or hasattr(members, name)
    sent = {field.name for field in fields(platform.SyncRequest)}
    assert {"epoch", "token", "starts"} <= sent
    for name in ownership.StartTask._fields[2:]:
        assert name in {field.name for field in fields(platform.StartTask)}


def test_the_protocol_page_lists_the_messages():
    page = (DOCS / "PROTOCOL.md").read_text()
    assert all(f"`{name}`" in page for name in MESSAGES)


# The first scope in which a guard is needed, for those that the first of all misses.
HUB_SCOPES = {"store_confirms_incarnation": 1, "order_names_incarnation": 1}
ISOLATION_SCOPES = {
    "only_witnesses_count": 4,
    "store_confirms_before_freeing": 1,
    "settle_before_changing_witnesses": 4,
    "change_witnesses_conditionally": 4,
    "both_sets_confirm_while_unknown": 4,
}


def test_no_written_start_is_needed_on_the_platform():
    found = check(hub, 0, exhaustive=False, without=None)
    assert found.violation is None


@pytest.mark.parametrize("guard", guard_names(hub))
def test_every_guard_of_the_hub_is_needed(guard):
    scope = HUB_SCOPES.get(guard, 0)
    assert check(hub, scope, exhaustive=False, without=guard).violation


@pytest.mark.parametrize("scope", range(3))
def test_earlier_owners_have_stopped_when_an_owner_settles(scope):
    found = check(isolation, scope, exhaustive=True, without=None)
    assert found.complete
    assert found.violation is None


@pytest.mark.parametrize("guard", guard_names(isolation))
def test_every_rule_for_isolated_owners_is_needed(guard):
    scope = ISOLATION_SCOPES.get(guard, 0)
    assert check(isolation, scope, exhaustive=True, without=guard).violation
