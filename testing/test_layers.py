"""Guards against imports of an outer layer by an inner one, and I/O in the core."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / "src" / "carobstand"
LAYERS = ["core", "wire", "platform", "transfer", "entry|agent|cli", "standin"]
IO_MODULES = {"time", "random", "socket", "os", "asyncio", "anyio", "eliot", "httpx"}


def layer_of(package):
    for level, names in enumerate(LAYERS):
        if package in names.split("|"):
            return level
    return None


def imports_of(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def modules():
    return [path for path in ROOT.rglob("*.py") if "gen" not in path.parts]


def test_no_module_imports_an_outer_layer():
    for path in modules():
        own_level = layer_of(path.relative_to(ROOT).parts[0])
        for name in imports_of(path):
            parts = name.split(".")
            if own_level is None or parts[0] != "carobstand" or len(parts) < 2:
                continue
            other_level = layer_of(parts[1])
            assert other_level is None or other_level <= own_level, (
                f"{path.name} imports {name}"
            )


def test_core_does_no_input_or_output():
    for path in (ROOT / "core").glob("*.py"):
        for name in imports_of(path):
            assert name.split(".")[0] not in IO_MODULES, f"{path.name} imports {name}"
            if name.startswith("carobstand."):
                assert name.split(".")[1] in {"core", "errors"}, f"{path.name}: {name}"
