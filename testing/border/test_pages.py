import json
import re
from pathlib import Path

from bench.capacity import table

from primrosehub.core.errors import ANSWERS

DOCS = Path(__file__).parents[2] / "docs"


def test_the_error_page_matches_the_error_table():
    rows = re.findall(
        r"^\| `(\w+)` \| (\d+) \| (\w+) \|", (DOCS / "ERRORS.md").read_text(), re.M
    )
    not_run_text = {None: "absent", True: "true", False: "false"}
    assert rows == [
        (str(kind), str(answer.status), not_run_text[answer.not_run])
        for kind, answer in ANSWERS.items()
    ]


def test_every_promise_names_only_tests_that_exist():
    page = (DOCS / "PROMISES.md").read_text()
    named = set(re.findall(r"\btest_\w+\b(?!\.py)", page))
    assert named
    sources = "".join(
        p.read_text() for p in Path(__file__).parents[1].rglob("test_*.py")
    )
    assert [name for name in sorted(named) if f"def {name}(" not in sources] == []


def test_the_capacity_table_is_computed_from_the_samples():
    samples = json.loads((DOCS / "capacity.json").read_text())
    assert table(samples) in (DOCS / "CAPACITY.md").read_text()
