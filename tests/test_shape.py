"""Bounds on the policy package's code, and the imports that each package may use."""

import ast
import pathlib
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
POLICY = sorted((ROOT / "scalefall" / "policy").glob("*.py"))
MAX_LINES = {ast.ClassDef: 250, ast.FunctionDef: 40}


def line_count(node):
    return node.end_lineno - node.lineno + 1


def test_policy_files_classes_and_functions_are_within_their_bounds():
    for path in POLICY:
        assert len(path.read_text().splitlines()) <= 400, path.name
        nodes = [node for node in ast.walk(ast.parse(path.read_text())) if type(node) in MAX_LINES]
        assert [(path.name, node.name) for node in nodes if line_count(node) > MAX_LINES[type(node)]] == []


def test_the_formatter_and_the_linter_cover_all_of_policy():
    ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    excluded = [*ruff.get("exclude", []), *ruff.get("format", {}).get("exclude", [])]
    excluded += [*ruff["lint"].get("exclude", []), *ruff["lint"].get("per-file-ignores", {})]
    assert not [pattern for pattern in excluded if "policy" in pattern or pattern.startswith("scalefall/*")]
    assert ruff["line-length"] <= 120
    for path in POLICY:
        assert "fmt: " not in path.read_text(), path.name
        assert "noqa" not in path.read_text(), path.name


def test_the_deploy_file_lists_every_policy_file():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert sorted(deploy["policy"]) == [str(path.relative_to(ROOT)) for path in POLICY]
    assert all((ROOT / name).exists() for name in deploy["node"])


def imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


EXTRAS = {  # third-party modules by package; the sender uses none of them
    "lang": {"lark", "netaddr"},
    "cli": {"click", "structlog"},
    "transport": {"grpc", "google", "envoy", "xds", "cryptography"},
    "proxy": {"grpc", "google", "envoy"},
}


def test_run_time_imports_are_standard_internal_or_a_package_s_extras():
    for path in sorted((ROOT / "scalefall").rglob("*.py")):
        allowed = sys.stdlib_module_names | {"scalefall"} | ({"greenlet"} if path.name == "scheduler.py" else set())
        for name in imports(path):
            assert name.split(".")[0] in allowed | EXTRAS.get(path.parent.name, set()), (path.name, name)


def test_packages_import_only_from_lower_layers():
    layers = ["cli", "lab", "transport", "assignment", "control", "lang", "net"]
    names = {"transport": "scalefall.control.transport"}
    for path in sorted((ROOT / "scalefall").rglob("*.py")):
        inside = [part for part in path.relative_to(ROOT / "scalefall").parts if part in layers]
        if inside:  # control/transport is in the layer transport, lab/proxy in lab
            above = tuple(names.get(layer, f"scalefall.{layer}") for layer in layers[: layers.index(inside[-1])])
            assert [name for name in imports(path) if name.startswith(above)] == [], path


def test_the_language_reads_files_in_one_module():
    for path in sorted((ROOT / "scalefall" / "lang").glob("*.py")):
        tree = ast.parse(path.read_text())
        opens = [node for node in ast.walk(tree) if isinstance(node, ast.Name) and node.id == "open"]
        using = {name.split(".")[0] for name in imports(path)} & {"os", "io", "pathlib", "subprocess", "socket", "time"}
        assert path.name == "files.py" or (not opens and not using), path.name


def test_decisions_of_control_and_assignment_use_no_clock_file_or_socket():
    decisions = [path for package in ("control", "assignment") for path in (ROOT / "scalefall" / package).glob("*.py")]
    for path in sorted(decisions):
        using = {name.split(".")[0] for name in imports(path)}
        assert not using & {"os", "io", "pathlib", "socket", "time", "asyncio", "grpc", "google", "envoy"}, path
        assert not [
            node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Name) and node.id == "open"
        ], path


def test_policy_imports_only_itself_and_modules_without_input_or_output():
    doing_io = {"os", "io", "socket", "time", "pathlib", "asyncio", "threading", "subprocess", "datetime", "sys"}
    for path in POLICY:
        for name in imports(path):
            package = name.split(".")[0]
            assert name.startswith("scalefall.policy.") or package in sys.stdlib_module_names - doing_io, (
                path.name,
                name,
            )
        nodes = ast.walk(ast.parse(path.read_text()))
        assert not [node for node in nodes if isinstance(node, ast.Name) and node.id in ("open", "print")], path.name


def test_policy_uses_only_the_random_generator_passed_to_it():
    for path in POLICY:
        modules = [name for name in imports(path) if name.split(".")[0] in ("random", "secrets", "uuid")]
        assert modules == [] or path.name in ("engine.py", "state.py"), (path.name, modules)
        calls = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Attribute)]
        used = [node.attr for node in calls if isinstance(node.value, ast.Name) and node.value.id == "random"]
        assert set(used) <= {"Random"}, path.name


def test_top_level_modules_do_not_import_the_network_code():
    for path in (ROOT / "scalefall").glob("*.py"):
        if path.name != "__main__.py":
            assert [name for name in imports(path) if name.startswith(("scalefall.net", "greenlet"))] == [], path.name


def test_the_main_module_has_at_most_30_lines():
    assert len((ROOT / "scalefall" / "__main__.py").read_text().splitlines()) <= 30
