"""Guards against imports that go from an inner layer to an outer one."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / "src" / "carobstand"
LAYERS = ["core", "wire", "platform", "transfer", "entry|agent|cli", "standin"]
PURE = {"time", "random", "socket", "os", "asyncio", "anyio", "eliot", "httpx"}


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
        own = layer_of(path.relative_to(ROOT).parts[0])
        for name in imports_of(path):
            parts = name.split(".")
            if own is None or parts[0] != "carobstand" or len(parts) < 2:
                continue
            other = layer_of(parts[1])
            assert other is None or other <= own, f"{path.name} imports {name}"


def test_core_does_no_input_or_output():
    for path in (ROOT / "core").glob("*.py"):
        for name in imports_of(path):
            assert name.split(".")[0] not in PURE, f"{path.name} imports {name}"
            if name.startswith("carobstand."):
                assert name.split(".")[1] in {"core", "errors"}, f"{path.name}: {name}"
