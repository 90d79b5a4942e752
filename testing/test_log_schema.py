"""Checks that docs/logging.md documents every log event with its fields."""

import ast
import pathlib
import re

import carobstand

SOURCE_DIR = pathlib.Path(carobstand.__file__).parent
DOC_PATH = pathlib.Path(__file__).parent.parent / "docs" / "logging.md"
EVENT_ROW = re.compile(r"^\| `([a-z_]+\.[a-z_]+)` \| ([^|]*)\|", re.MULTILINE)


def log_calls():
    """Yield (event, function, fields) of each log call in the source."""
    for path in SOURCE_DIR.rglob("*.py"):
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


def logged_fields():
    """Return the fields that the source logs with each event."""
    found = {"log.dropped": {"lines"}}
    for name, func, fields in log_calls():
        extra = {"error", "trace"} if func == "failure" else set()
        found.setdefault(name, set()).update(fields | extra)
    return found


def test_every_event_is_documented_with_its_fields():
    documented = {
        name: set(re.findall(r"`([a-z_]+)`", fields))
        for name, fields in EVENT_ROW.findall(DOC_PATH.read_text())
    }
    fields = logged_fields()
    assert set(documented) == set(fields)
    assert {name: documented[name] - fields[name] for name in documented} == {
        name: set() for name in documented
    }
    missing = {name: fields[name] - documented[name] for name in fields}
    assert not any(missing.values()), missing


def test_debug_events_are_marked_as_details():
    marked = set(
        re.findall(r"^\| `([a-z_.]+)` .*\*details\*", DOC_PATH.read_text(), re.M)
    )
    found = {}
    for name, func, _ in log_calls():
        found.setdefault(name, set()).add(func)
    assert marked == {name for name, funcs in found.items() if funcs == {"debug"}}
