from pathlib import Path

import pytest
from testing.builders import a_rule_file, a_size

from primrosehub.border.rule_file import RulesError, parse_rules
from primrosehub.core.rules import ForTeams, OpenToAll

EXAMPLES = Path(__file__).parents[2] / "examples"


def test_rules_are_read():
    config = parse_rules(a_rule_file(), version=4)
    assert config.version == 4
    assert config.teams["blue"].limit == a_size(16, 64)
    assert config.queues["nightly"].access == ForTeams(frozenset({"blue"}))
    assert config.services["hints"].access == OpenToAll("green")


@pytest.mark.parametrize("example", ["rayo", "corrib"])
def test_the_examples_are_valid(example):
    assert len(parse_rules((EXAMPLES / example / "rules.txt").read_text()).teams) == 6


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("team red share=1 cpus=1 memory_gb=1", "names who asked"),
        ("team red share=1 cpus=1 memory_gb=1  #  ", "names who asked"),
        ("crew red  # x", "unknown rule 'crew'"),
        ("team  # x", "give the team a name"),
        ("team Red share=1 cpus=1 memory_gb=1  # x", "is not a valid name"),
        ("team red share=0 cpus=1 memory_gb=1  # x", "share must be at least 1"),
        ("team red share=1 cpus=-1 memory_gb=1  # x", "cpus must be a whole number"),
        ("team red share=1 cpus=1 memory_gb=1 colour=red  # x", "does not take colour"),
        (
            "team blue share=1 cpus=1 memory_gb=1  # x",
            "is already defined on an earlier line",
        ),
        ("key sha256:12 team=blue  # x", "64 hex digits"),
        ("queue a  # x", "no team may use it; add teams="),
        ("queue a open  # x", "needs team=NAME"),
        ("default lunch cpus=1 memory_gb=1  # x", "defaults are for"),
        ("service a teams=blue deadline_ms=0  # x", "deadline_ms must be from 1"),
    ],
)
def test_an_invalid_line_is_reported_with_its_number(line, problem):
    with pytest.raises(RulesError, match=rf"line 10: .*{problem}"):
        parse_rules(a_rule_file() + line + "\n")


def test_every_invalid_line_is_reported():
    with pytest.raises(RulesError) as caught:
        parse_rules("team\nqueue q teams=none  # x\n")
    assert len(caught.value.problems) == 2


def test_an_unknown_team_is_reported():
    with pytest.raises(RulesError, match="no team 'none'; add a team rule"):
        parse_rules("queue q teams=none  # x\n")
