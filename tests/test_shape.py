"""The limits that the module and the library keep."""

import ast
import pathlib
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


POLICY = sorted((ROOT / "scalefall" / "policy").glob("*.py"))
MAX_LINES = {ast.ClassDef: 250, ast.FunctionDef: 40}


def length(node):
    return node.end_lineno - node.lineno + 1


def test_policy_is_made_of_small_parts():
    for path in POLICY:
        assert len(path.read_text().splitlines()) <= 400, path.name
        nodes = [node for node in ast.walk(ast.parse(path.read_text())) if type(node) in MAX_LINES]
        assert [(path.name, node.name) for node in nodes if length(node) > MAX_LINES[type(node)]] == []


def test_the_formatter_and_the_linter_cover_all_of_policy():
    ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    excluded = [*ruff.get("exclude", []), *ruff.get("format", {}).get("exclude", [])]
    excluded += [*ruff["lint"].get("exclude", []), *ruff["lint"].get("per-file-ignores", {})]
    assert not [pattern for pattern in excluded if "policy" in pattern or pattern.startswith("scalefall/*")]
    assert ruff["line-length"] <= 120
    for path in POLICY:
        assert "fmt: " not in path.read_text(), path.name
        assert "noqa" not in path.read_text(), path.name


def test_the_deploy_file_names_each_file_of_policy():
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


EXTRAS = {
    "lang": {"lark", "netaddr"},
    "cli": {"click", "structlog"},  # by package; the sender takes none of them
    "transport": {"grpc", "google", "envoy", "xds", "cryptography"},
    "proxy": {"grpc", "google", "envoy"},
}


def test_run_time_imports_are_standard_our_own_or_a_package_s_own_extras():
    for path in sorted((ROOT / "scalefall").rglob("*.py")):
        allowed = sys.stdlib_module_names | {"scalefall"} | ({"greenlet"} if path.name == "scheduler.py" else set())
        for name in imports(path):
            assert name.split(".")[0] in allowed | EXTRAS.get(path.parent.name, set()), (path.name, name)


def test_imports_point_down_only():
    floors = ["cli", "lab", "transport", "assignment", "control", "lang", "net"]
    names = {"transport": "scalefall.control.transport"}
    for path in sorted((ROOT / "scalefall").rglob("*.py")):
        inside = [part for part in path.relative_to(ROOT / "scalefall").parts if part in floors]
        if inside:  # control/transport is of the floor transport, lab/proxy of lab
            above = tuple(names.get(up, f"scalefall.{up}") for up in floors[: floors.index(inside[-1])])
            assert [name for name in imports(path) if name.startswith(above)] == [], path


def test_the_language_does_its_reading_in_one_module():
    for path in sorted((ROOT / "scalefall" / "lang").glob("*.py")):
        tree = ast.parse(path.read_text())
        opens = [node for node in ast.walk(tree) if isinstance(node, ast.Name) and node.id == "open"]
        using = {name.split(".")[0] for name in imports(path)} & {"os", "io", "pathlib", "subprocess", "socket", "time"}
        assert path.name == "files.py" or (not opens and not using), path.name


def test_what_control_and_assignment_decide_knows_no_clock_file_or_socket():
    decisions = [path for package in ("control", "assignment") for path in (ROOT / "scalefall" / package).glob("*.py")]
    for path in sorted(decisions):
        using = {name.split(".")[0] for name in imports(path)}
        assert not using & {"os", "io", "pathlib", "socket", "time", "asyncio", "grpc", "google", "envoy"}, path
        assert not [
            node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Name) and node.id == "open"
        ], path


def test_policy_imports_only_itself_and_what_does_no_input_or_output():
    doing_io = {"os", "io", "socket", "time", "pathlib", "asyncio", "threading", "subprocess", "datetime", "sys"}
    for path in POLICY:
        for name in imports(path):
            top = name.split(".")[0]
            assert name.startswith("scalefall.policy.") or top in sys.stdlib_module_names - doing_io, (path.name, name)
        nodes = ast.walk(ast.parse(path.read_text()))
        assert not [node for node in nodes if isinstance(node, ast.Name) and node.id in ("open", "print")], path.name


def test_policy_draws_from_the_one_generator_that_it_is_handed():
    for path in POLICY:
        drawn = [name for name in imports(path) if name.split(".")[0] in ("random", "secrets", "uuid")]
        assert drawn == [] or path.name in ("engine.py", "state.py"), (path.name, drawn)
        calls = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Attribute)]
        used = [node.attr for node in calls if isinstance(node.value, ast.Name) and node.value.id == "random"]
        assert set(used) <= {"Random"}, path.name


def test_the_core_and_the_simulators_side_know_nothing_of_the_network():
    for path in (ROOT / "scalefall").glob("*.py"):
        if path.name != "__main__.py":
            assert [name for name in imports(path) if name.startswith(("scalefall.net", "greenlet"))] == [], path.name


def test_the_main_program_is_a_few_lines():
    assert len((ROOT / "scalefall" / "__main__.py").read_text().splitlines()) <= 30
