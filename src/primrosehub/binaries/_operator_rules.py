"""The operators' commands for rules, keys and the audit trail."""

from __future__ import annotations

import difflib
import getpass
import hashlib
import json
import re
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from primrosehub.binaries._operator_context import (
    OperatorError,
    PlatformServices,
    platform,
)
from primrosehub.border.codec import from_plain
from primrosehub.border.rule_file import RulesError, parse_rules
from primrosehub.core import keys
from primrosehub.core.members import Member
from primrosehub.core.table import ABSENT, Applied, Expect, Row, Transaction, Write
from primrosehub.services.names.v1 import Keys, Prefix

IN_FORCE_TIMEOUT_S = 20.0
# A daemon whose counter has not changed for this long counts as dead.
DEAD_DAEMON_S = 8.0
POLL_INTERVAL_S = 0.25
_HEADER = re.compile(r"# version (\d+)\n")


def check(file: Path) -> int:
    """Check a rules file and name each invalid line.

    :param file: the rules
    """
    config = _parse(file.read_text())
    rules = (config.teams, config.keys, config.queues, config.services, config.defaults)
    print(f"{file}: {sum(len(kind) for kind in rules)} rules are valid")
    return 0


def show(*, settings: Path, version: int | None = None) -> int:
    """Print the rules in force, with a header that gives their version.

    :param settings: the JSON file with the operator's settings
    :param version: print this version instead
    """
    with platform(settings) as cell:
        _, in_force = _read_version_in_force(cell)
        number = in_force if version is None else version
        print(f"# version {number}\n{_read_rules(cell, number)}", end="")
    return 0


def diff(file: Path, *, settings: Path) -> int:
    """Show what applying a file would change.

    :param file: the rules
    :param settings: the JSON file with the operator's settings
    """
    with platform(settings) as cell:
        _, number = _read_version_in_force(cell)
        _, text = _split_header(file.read_text())
        print(
            _unified_diff(
                _read_rules(cell, number), text, f"version {number}", str(file)
            ),
            end="",
        )
    return 0


def apply(
    file: Path, *, settings: Path, base: int | None = None, who: str | None = None
) -> int:
    """Put a rules file in force everywhere.

    :param file: the rules, with a header that gives the version they are based on
    :param settings: the JSON file with the operator's settings
    :param base: the version they are based on, if not the one in the header
    :param who: the author for the audit trail, if not the login name
    """
    header, text = _split_header(file.read_text())
    _parse(text)
    with platform(settings) as cell:
        row, number = _read_version_in_force(cell)
        base_version = base if base is not None else header
        if base_version is None and number:
            raise OperatorError(
                f"version {number} is in force, but the file has no version header; "
                f"edit the output of 'primrosehub rules show', or give --base {number}"
            )
        if (base_version or 0) != number:
            raise _conflict_error(cell, base_version or 0, number)
        record = _audit_record(cell, who or getpass.getuser(), number, text)
        _commit(cell, row, number + 1, text, record)
        name = f"audit/{number + 1:08d}.json"
        cell.objects.put(name, json.dumps(record).encode())
        print(f"version {number + 1} is accepted")
        return _wait_until_in_force(cell, number + 1)


def audit(*, settings: Path, last: int = 20) -> int:
    """Print who changed which line, when and why.

    :param settings: the JSON file with the operator's settings
    :param last: how many of the latest versions to print
    """
    with platform(settings) as cell:
        _, number = _read_version_in_force(cell)
        for version in range(max(1, number - last + 1), number + 1):
            rows = cell.table.read(Keys((keys.audit(version),)))[0]
            for row in rows:
                _print_audit(row.value)
    return 0


def new(team: str, asked_by: str) -> int:
    """Create a key: print its secret once, and the rule that accepts the key.

    :param team: the team that the key is for
    :param asked_by: who asked for it
    """
    secret = secrets.token_urlsafe(24)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    print(f"secret: {secret}")
    print(f"key sha256:{digest} team={team}  # {asked_by}")
    return 0


def _parse(text: str) -> Any:
    try:
        return parse_rules(text)
    except RulesError as error:
        raise OperatorError("\n".join(error.problems)) from None


def _split_header(text: str) -> tuple[int | None, str]:
    match = _HEADER.match(text)
    if match is None:
        return None, text
    return int(match.group(1)), text[match.end() :]


def _read_version_in_force(cell: PlatformServices) -> tuple[Row | None, int]:
    rows = cell.table.read(Keys((keys.CONFIG_VERSION,)))[0]
    return (rows[0], rows[0].value["version"]) if rows else (None, 0)


def _read_rules(cell: PlatformServices, version: int) -> str:
    if version == 0:
        return ""
    rows = cell.table.read(Keys((keys.config_text(version),)))[0]
    if not rows:
        raise OperatorError(
            f"there is no version {version}; 'primrosehub audit' lists the latest"
        )
    return rows[0].value["text"]


def _unified_diff(old: str, new_text: str, old_name: str, new_name: str) -> str:
    lines = difflib.unified_diff(
        old.splitlines(True), new_text.splitlines(True), old_name, new_name, n=0
    )
    return "".join(lines)


def _conflict_error(
    cell: PlatformServices, base_version: int, in_force: int
) -> OperatorError:
    changed = _unified_diff(
        _read_rules(cell, base_version) if base_version <= in_force else "",
        _read_rules(cell, in_force),
        f"version {base_version}",
        f"version {in_force}",
    )
    return OperatorError(
        f"the file is based on version {base_version}, but version {in_force} is in "
        f"force; add these changes to your file and give --base {in_force}:\n"
        f"{changed}"
    )


def _audit_record(
    cell: PlatformServices, who: str, number: int, text: str
) -> dict[str, Any]:
    old = _read_rules(cell, number).splitlines()
    new_lines = text.splitlines()
    changes = [
        {"sign": line[0], "rule": body.strip(), "why": why.strip()}
        for line in difflib.ndiff(old, new_lines)
        if line[:2] in ("+ ", "- ") and not line[2:].lstrip().startswith("#")
        for body, _, why in [line[2:].partition("#")]
        if body.strip()
    ]
    return {
        "who": who,
        "at": time.time(),
        "from": number,
        "to": number + 1,
        "changes": changes,
    }


def _commit(
    cell: PlatformServices,
    row: Row | None,
    version: int,
    text: str,
    record: dict[str, Any],
) -> None:
    outcome = cell.table.commit(
        Transaction(
            (Expect(keys.CONFIG_VERSION, row.version if row else ABSENT),),
            (
                Write(keys.CONFIG_VERSION, {"version": version}),
                Write(keys.config_text(version), {"text": text}),
                Write(keys.audit(version), record),
            ),
        )
    )
    if not isinstance(outcome, Applied):
        _, in_force = _read_version_in_force(cell)
        raise _conflict_error(cell, version - 1, in_force)


def _wait_until_in_force(cell: PlatformServices, version: int) -> int:
    """Wait until each daemon has the version or shows no sign of life."""
    started = time.monotonic()
    seen: dict[str, tuple[int, float]] = {}
    outdated: list[str] = []
    while time.monotonic() - started < IN_FORCE_TIMEOUT_S:
        now = time.monotonic()
        rows = cell.table.read(Prefix(keys.MEMBER))[0]
        members = [from_plain(Member, member_row.value) for member_row in rows]
        outdated = []
        for member in members:
            counter, since = seen.get(member.incarnation, (-1, now))
            if counter != member.counter:
                since = now
            seen[member.incarnation] = (member.counter, since)
            if member.config_version < version and now - since < DEAD_DAEMON_S:
                outdated.append(member.name)
        if not outdated:
            seconds = now - started
            print(f"in force at {len(members)} daemons after {seconds:.1f} s")
            return 0
        gevent.sleep(POLL_INTERVAL_S)
    raise OperatorError(
        f"version {version} is accepted, but not yet in force at {outdated}; "
        "check these daemons with 'primrosehub status'"
    )


def _print_audit(record: dict[str, Any]) -> None:
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(record["at"]))
    print(f"{at} {record['who']} version {record['from']} -> {record['to']}")
    for change in record["changes"]:
        print(f"  {change['sign']} {change['rule']}  ({change['why']})")


COMMANDS: list[Callable[..., int]] = [check, show, diff, apply]
