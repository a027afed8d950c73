import json
import os
import re
import subprocess
from pathlib import Path

from primrosehub_standins.cell import Cell
from primrosehub_standins.layout import Layout
from testing.conftest import FAST_TIMING

ROOT = Path(__file__).parents[2]


def test_the_commands_for_callers_work_as_printed(tmp_path):
    page = (ROOT / "docs" / "API.md").read_text()
    blocks = re.findall(r"(?:^    .*\n)+", page, re.M)
    script = "set -e\n" + "\necho\n".join(blocks)
    layout = Layout(entries=1, schedulers=1, shards=2, backends=2, timing=FAST_TIMING)
    with Cell(tmp_path / "cell", layout) as cell:
        cell.start(ROOT / "examples" / "rayo" / "rules.txt")
        ip, port = cell.entries()[0].address("callers")
        values = {"HUB": f"http://{ip}:{port}", "KEY": "rayo-counter-1"}
        completed = subprocess.run(
            ["bash", "-c", script],
            env=os.environ | values,
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert completed.returncode == 0, completed.stderr
    answers = [json.loads(line) for line in completed.stdout.splitlines() if line]
    assert len(answers) == len(blocks) + 1
    assert not any("kind" in a and "title" in a for a in answers)
    assert answers[-1]["cancel_requested"] is True


def test_invalid_settings_and_rules_are_named(tmp_path):
    """Run the programs' own checks on invalid files."""
    invalid_files = {
        "bad-json.json": ("{", "Invalid JSON"),
        "empty.json": ("{}", "name: Field required"),
        "unknown.json": ('{"colour": 1}', "colour: Extra inputs are not permitted"),
        "rules.txt": ("team a\n", "line 1: add a comment that names who asked"),
    }
    for name, (text, message) in invalid_files.items():
        path = tmp_path / name
        path.write_text(text)
        module = "entry" if name.endswith(".json") else "operator_command"
        words = ["--settings", str(path), "--check"]
        if name.endswith(".txt"):
            words = ["rules", "check", str(path)]
        completed = subprocess.run(
            ["python", "-m", f"primrosehub.binaries.{module}", *words],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert completed.returncode == (2 if name.endswith(".json") else 1)
        assert message in completed.stderr
