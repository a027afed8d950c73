"""Only the folder platform may use the wire names of the outside platform."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "primrosehub"
PLATFORM = SOURCE / "platform"
OUTSIDE = sorted(path for path in SOURCE.rglob("*.py") if PLATFORM not in path.parents)
# Names that this project's own HTTP servers and clients use too.
SHARED = {"application/json", "Content-Type", "Content-Length", "Retry-After"}


def string_literals(path):
    tree = ast.parse(path.read_text())
    docstring_ids = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    for node in ast.walk(tree):
        is_text = isinstance(node, ast.Constant) and isinstance(node.value, str)
        if is_text and id(node) not in docstring_ids and len(node.value) > 2:
            yield node.value


def wire_names():
    names = set()
    for path in PLATFORM.glob("*.py"):
        names |= {s for s in string_literals(path) if "-" in s or s.startswith("/")}
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                names.add(node.target.id.replace("_", "-"))
    return {name for name in names - SHARED if "-" in name or name.startswith("/p")}


def test_the_collected_wire_names_include_known_ones():
    assert {"fencing-token", "ack-cursor", "free-capacity"} <= wire_names()


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: str(path.name))
def test_no_module_outside_the_platform_folder_uses_its_wire_names(path):
    names = wire_names()
    used = {text for text in string_literals(path) if text in names}
    assert used == set()


def test_the_platform_folder_imports_no_policies_or_services():
    for path in PLATFORM.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                assert not node.module.startswith("primrosehub.policy"), path.name
                assert not node.module.startswith("primrosehub.services"), path.name
