"""The platform's names stand in its own folder and nowhere else."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "primrosehub"
PLATFORM = SOURCE / "platform"
OUTSIDE = sorted(path for path in SOURCE.rglob("*.py") if PLATFORM not in path.parents)
# Names that are ours as well, in our own settings and log lines.
SHARED = {"application/json", "Content-Type", "Content-Length", "Retry-After"}


def strings_of(path):
    tree = ast.parse(path.read_text())
    docs = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    for node in ast.walk(tree):
        is_text = isinstance(node, ast.Constant) and isinstance(node.value, str)
        if is_text and id(node) not in docs and len(node.value) > 2:
            yield node.value


def wire_names():
    names = set()
    for path in PLATFORM.glob("*.py"):
        names |= {s for s in strings_of(path) if "-" in s or s.startswith("/")}
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                names.add(node.target.id.replace("_", "-"))
    return {name for name in names - SHARED if "-" in name or name.startswith("/p")}


def test_the_folder_spells_the_names_that_matter():
    assert {"fencing-token", "ack-cursor", "free-capacity"} <= wire_names()


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: str(path.name))
def test_no_module_outside_the_folder_uses_the_platforms_names(path):
    names = wire_names()
    used = {text for text in strings_of(path) if text in names}
    assert used == set()


def test_the_folder_decides_nothing():
    for path in PLATFORM.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                assert not node.module.startswith("primrosehub.policy"), path.name
                assert not node.module.startswith("primrosehub.services"), path.name
