"""The lines that the programs write are those of docs/logging.md."""

import ast
import pathlib
import re

import carobstand

SOURCES = pathlib.Path(carobstand.__file__).parent
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "logging.md"
ROW = re.compile(r"^\| `([a-z_]+\.[a-z_]+)` \| ([^|]*)\|", re.MULTILINE)


def calls():
    """Yield (event, function, fields) of each line that the programs can write."""
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            func = node.func
            if not isinstance(func, ast.Attribute) or not isinstance(
                func.value, ast.Name
            ):
                continue
            if func.value.id == "eventlog" and isinstance(node.args[0], ast.Constant):
                fields = {keyword.arg for keyword in node.keywords}
                yield node.args[0].value, func.attr, fields


def written():
    """Return the fields of each event."""
    found = {"log.dropped": {"lines"}}
    for name, func, fields in calls():
        extra = {"error", "trace"} if func == "failure" else set()
        found.setdefault(name, set()).update(fields | extra)
    return found


def test_every_line_is_described_with_its_fields():
    described = {
        name: set(re.findall(r"`([a-z_]+)`", fields))
        for name, fields in ROW.findall(PAGE.read_text())
    }
    fields = written()
    assert set(described) == set(fields)
    assert {name: described[name] - fields[name] for name in described} == {
        name: set() for name in described
    }
    missing = {name: fields[name] - described[name] for name in fields}
    assert not any(missing.values()), missing


def test_lines_of_details_are_marked():
    marked = set(re.findall(r"^\| `([a-z_.]+)` .*\*details\*", PAGE.read_text(), re.M))
    found = {}
    for name, func, _ in calls():
        found.setdefault(name, set()).add(func)
    assert marked == {name for name, funcs in found.items() if funcs == {"debug"}}
