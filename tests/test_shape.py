"""The limits that the module and the library keep."""

import ast
import pathlib
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def test_policy_keeps_its_line_limits():
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert "scalefall/policy/engine.py" in files
    lines = [line for file in files for line in (ROOT / file).read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 780
    assert [n for n, line in enumerate(lines, 1) if len(line) > 110] == []


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
        assert path.name == "files.py" or not opens and not using, path.name


def test_what_control_and_assignment_decide_knows_no_clock_file_or_socket():
    decisions = [path for package in ("control", "assignment") for path in (ROOT / "scalefall" / package).glob("*.py")]
    for path in sorted(decisions):
        using = {name.split(".")[0] for name in imports(path)}
        assert not using & {"os", "io", "pathlib", "socket", "time", "asyncio", "grpc", "google", "envoy"}, path
        assert not [
            node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Name) and node.id == "open"
        ], path


def test_policy_speaks_only_interface_types():
    tree = ast.parse((ROOT / "scalefall" / "policy" / "engine.py").read_text())
    ours = [n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom) and n.module.startswith("scalefall")]
    assert ours == ["scalefall.policy.actions", "scalefall.policy.events", "scalefall.policy.settings"]


def test_the_core_and_the_simulators_side_know_nothing_of_the_network():
    for path in (ROOT / "scalefall").glob("*.py"):
        if path.name != "__main__.py":
            assert [name for name in imports(path) if name.startswith(("scalefall.net", "greenlet"))] == [], path.name


def test_the_main_program_is_a_few_lines():
    assert len((ROOT / "scalefall" / "__main__.py").read_text().splitlines()) <= 30
