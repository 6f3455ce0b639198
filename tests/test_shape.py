"""The limits that the module and the library keep."""
import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent


def test_policy_keeps_its_line_limits():
    lines = (ROOT / "scalefall" / "policy.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 680
    assert [n for n, line in enumerate(lines, 1) if len(line) > 110] == []


def test_run_time_imports_are_standard_or_our_own():
    for path in sorted((ROOT / "scalefall").glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else \
                [node.module] if isinstance(node, ast.ImportFrom) else []
            for name in names:
                assert name.split(".")[0] in sys.stdlib_module_names | {"scalefall"}, (path.name, name)


def test_policy_speaks_only_interface_types():
    tree = ast.parse((ROOT / "scalefall" / "policy.py").read_text())
    ours = [n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom) and n.module.startswith("scalefall")]
    assert ours == ["scalefall.interface"]
