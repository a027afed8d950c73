"""Parse the operators' rules: one per line, with a comment naming who asked for it."""

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
_WORK_KINDS = ("service", "batch", "all_at_once")
_MB_PER_GB = 1024


class RulesError(Exception):
    """Report every invalid line with its number and how to correct it."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class _LineError(Exception):
    pass


def parse_rules(text: str, version: int = 0) -> Configuration:
    """Return the configuration; raise RulesError naming each invalid line."""
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
    body, separator, comment = line.partition("#")
    if not separator or not comment.strip():
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


def _checked_name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise _LineError(
            f"{value!r} is not a valid name; "
            "use 1 to 63 characters of a-z, 0-9 and '-', with no '-' first"
        )
    return value


def _take_integer(
    options: dict[str, str], field: str, default: int | None = None
) -> int:
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


def _take_resources(options: dict[str, str]) -> Resources:
    return Resources(
        cpu_m=1000 * _take_integer(options, "cpus"),
        memory_mb=_MB_PER_GB * _take_integer(options, "memory_gb"),
        accelerators=_take_integer(options, "accelerators", 0),
    )


def _take_access(flags: list[str], options: dict[str, str]) -> Access:
    if "open" in flags:
        flags.remove("open")
        if "team" not in options:
            raise _LineError("an open queue or service needs team=NAME to charge")
        return OpenToAll(_checked_name(options.pop("team")))
    if "teams" not in options:
        raise _LineError("no team may use it; add teams=A,B or 'open team=A'")
    return ForTeams(
        frozenset(_checked_name(t) for t in options.pop("teams").split(","))
    )


def _parse_team(name: str, flags: list[str], options: dict[str, str]) -> Team:
    share = _take_integer(options, "share")
    if share == 0:
        raise _LineError("share must be at least 1")
    return Team(_checked_name(name), share, _take_resources(options))


def _parse_key(name: str, flags: list[str], options: dict[str, str]) -> Key:
    if not re.fullmatch(r"sha256:[0-9a-f]{64}", name):
        raise _LineError(
            "write a key as sha256: and 64 hex digits; 'primrosehub key new' prints one"
        )
    if "team" not in options:
        raise _LineError("team=NAME is missing")
    return Key(name.removeprefix("sha256:"), _checked_name(options.pop("team")))


def _parse_queue(name: str, flags: list[str], options: dict[str, str]) -> Queue:
    return Queue(_checked_name(name), _take_access(flags, options))


def _parse_service(
    name: str, flags: list[str], options: dict[str, str]
) -> BackendService:
    deadline_ms = _take_integer(options, "deadline_ms", 5000)
    if not 1 <= deadline_ms <= 3_600_000:
        raise _LineError("deadline_ms must be from 1 to 3600000")
    return BackendService(
        _checked_name(name), _take_access(flags, options), deadline_ms
    )


def _parse_default(name: str, flags: list[str], options: dict[str, str]) -> Default:
    if name not in _WORK_KINDS:
        raise _LineError(f"defaults are for {', '.join(_WORK_KINDS)}, not {name!r}")
    runtime_s = float(_take_integer(options, "runtime_s", 600))
    return Default(name, _take_resources(options), runtime_s)


_Parser = Callable[[str, list[str], dict[str, str]], Rule]
_PARSERS: dict[str, _Parser] = {
    "team": _parse_team,
    "key": _parse_key,
    "queue": _parse_queue,
    "service": _parse_service,
    "default": _parse_default,
}


def _add(config: Configuration, rule: Rule) -> None:
    match rule:
        case Team(name=name):
            _add_once(config.teams, name, rule)
        case Key(sha256=digest):
            _add_once(config.keys, digest, rule)
        case Queue(name=name):
            _add_once(config.queues, name, rule)
        case BackendService(name=name):
            _add_once(config.services, name, rule)
        case Default(kind=kind):
            _add_once(config.defaults, kind, rule)


def _add_once(rules: dict[str, Any], name: str, rule: Rule) -> None:
    if name in rules:
        raise _LineError(
            f"{name!r} is already defined on an earlier line; keep one of them"
        )
    rules[name] = rule


def _check_references(config: Configuration) -> list[str]:
    problems = []
    for key in config.keys.values():
        if key.team not in config.teams:
            problems.append(
                f"key sha256:{key.sha256[:12]}…: no team {key.team!r}; add a team rule"
            )
    for rule in [*config.queues.values(), *config.services.values()]:
        for team in sorted(_teams_allowed(rule.access) - set(config.teams)):
            problems.append(f"{rule.name}: no team {team!r}; add a team rule")
    return problems


def _teams_allowed(access: Access) -> set[str]:
    match access:
        case ForTeams(teams=teams):
            return set(teams)
        case OpenToAll(team=team):
            return {team}
