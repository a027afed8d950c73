"""Read the operators' rules: one a line, each with a comment naming who asked."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from primrosehub.core.resources import Resources
from primrosehub.core.rules import (
    Access,
    BackendService,
    Configuration,
    Default,
    ForTeams,
    Key,
    OpenToAll,
    Queue,
    Rule,
    Team,
)

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KINDS_OF_WORK = ("service", "batch", "all_at_once")
_MB_PER_GB = 1024


class RulesError(Exception):
    """Hold every wrong line, each with its number and what to do."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class _LineError(Exception):
    pass


def parse_rules(text: str, version: int = 0) -> Configuration:
    """Return the configuration; raise RulesError naming each wrong line."""
    problems: list[str] = []
    config = Configuration(version=version, text=text)
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        try:
            _add(config, _parse_line(line))
        except _LineError as error:
            problems.append(f"line {number}: {error}")
    problems.extend(_check_references(config))
    if problems:
        raise RulesError(problems)
    return config


def _parse_line(line: str) -> Rule:
    body, mark, comment = line.partition("#")
    if not mark or not comment.strip():
        raise _LineError("add a comment that names who asked, as in '# Rayo: why'")
    words = body.split()
    if words[0] not in _PARSERS:
        raise _LineError(f"unknown rule {words[0]!r}; use one of {', '.join(_PARSERS)}")
    if len(words) < 2:
        raise _LineError(f"give the {words[0]} a name")
    flags = [word for word in words[2:] if "=" not in word]
    options = dict(word.split("=", 1) for word in words[2:] if "=" in word)
    rule = _PARSERS[words[0]](words[1], flags, options)
    if flags or options:
        unknown = ", ".join([*flags, *options])
        raise _LineError(f"a {words[0]} rule does not take {unknown}")
    return rule


def _name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise _LineError(f"{value!r} is no name; use a-z, 0-9 and '-', at most 63")
    return value


def _integer(options: dict[str, str], field: str, default: int | None = None) -> int:
    value = options.pop(field, None)
    if value is None and default is not None:
        return default
    if value is None:
        raise _LineError(f"{field}=NUMBER is missing")
    if not value.isdecimal() or int(value) > 10**9:
        raise _LineError(
            f"{field} must be a whole number from 0 to 10^9, not {value!r}"
        )
    return int(value)


def _resources(options: dict[str, str]) -> Resources:
    return Resources(
        cpu_m=1000 * _integer(options, "cpus"),
        memory_mb=_MB_PER_GB * _integer(options, "memory_gb"),
        accelerators=_integer(options, "accelerators", 0),
    )


def _access(flags: list[str], options: dict[str, str]) -> Access:
    if "open" in flags:
        flags.remove("open")
        if "team" not in options:
            raise _LineError("an open queue or service needs team=NAME to charge")
        return OpenToAll(_name(options.pop("team")))
    if "teams" not in options:
        raise _LineError("say who may use it: teams=A,B or 'open team=A'")
    return ForTeams(frozenset(_name(t) for t in options.pop("teams").split(",")))


def _team(name: str, flags: list[str], options: dict[str, str]) -> Team:
    share = _integer(options, "share")
    if share == 0:
        raise _LineError("share must be at least 1")
    return Team(_name(name), share, _resources(options))


def _key(name: str, flags: list[str], options: dict[str, str]) -> Key:
    if not re.fullmatch(r"sha256:[0-9a-f]{64}", name):
        raise _LineError("a key is written sha256: and 64 hex digits; see 'key new'")
    if "team" not in options:
        raise _LineError("team=NAME is missing")
    return Key(name.removeprefix("sha256:"), _name(options.pop("team")))


def _queue(name: str, flags: list[str], options: dict[str, str]) -> Queue:
    return Queue(_name(name), _access(flags, options))


def _service(name: str, flags: list[str], options: dict[str, str]) -> BackendService:
    deadline_ms = _integer(options, "deadline_ms", 5000)
    if not 1 <= deadline_ms <= 3_600_000:
        raise _LineError("deadline_ms must be from 1 to 3600000")
    return BackendService(_name(name), _access(flags, options), deadline_ms)


def _default(name: str, flags: list[str], options: dict[str, str]) -> Default:
    if name not in _KINDS_OF_WORK:
        raise _LineError(f"defaults are for {', '.join(_KINDS_OF_WORK)}, not {name!r}")
    runtime_s = float(_integer(options, "runtime_s", 600))
    return Default(name, _resources(options), runtime_s)


_Parser = Callable[[str, list[str], dict[str, str]], Rule]
_PARSERS: dict[str, _Parser] = {
    "team": _team,
    "key": _key,
    "queue": _queue,
    "service": _service,
    "default": _default,
}


def _add(config: Configuration, rule: Rule) -> None:
    match rule:
        case Team(name=name):
            _put(config.teams, name, rule)
        case Key(sha256=digest):
            _put(config.keys, digest, rule)
        case Queue(name=name):
            _put(config.queues, name, rule)
        case BackendService(name=name):
            _put(config.services, name, rule)
        case Default(kind=kind):
            _put(config.defaults, kind, rule)


def _put(rules: dict[str, Any], name: str, rule: Rule) -> None:
    if name in rules:
        raise _LineError(f"{name!r} stands on an earlier line too; keep one")
    rules[name] = rule


def _check_references(config: Configuration) -> list[str]:
    problems = []
    for key in config.keys.values():
        if key.team not in config.teams:
            problems.append(f"key sha256:{key.sha256[:12]}…: no team {key.team!r}")
    for rule in [*config.queues.values(), *config.services.values()]:
        for team in sorted(_teams_of(rule.access) - set(config.teams)):
            problems.append(f"{rule.name}: no team {team!r}; add a team rule")
    return problems


def _teams_of(access: Access) -> set[str]:
    match access:
        case ForTeams(teams=teams):
            return set(teams)
        case OpenToAll(team=team):
            return {team}
