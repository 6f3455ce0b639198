"""The build command of the deploy file prepares what its run command needs."""

import pathlib
import shutil
import subprocess
import sys
import tomllib
from importlib.util import cache_from_source

ROOT = pathlib.Path(__file__).parent.parent


def test_the_build_compiles_every_module(tmp_path):
    """The run command writes no bytecode (-B), so each start of a sender compiles again what the build left out."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert " -O -B " in deploy["run"]
    shutil.copytree(ROOT / "scalefall", tmp_path / "scalefall", ignore=shutil.ignore_patterns("__pycache__"))
    compile_command = deploy["build"].rsplit(" && ", 1)[1].replace(".venv/bin/python", sys.executable)
    subprocess.run(compile_command, shell=True, cwd=tmp_path, check=True)
    sources = list(tmp_path.rglob("*.py"))
    assert len(sources) > 10
    for source in sources:
        assert pathlib.Path(cache_from_source(str(source), optimization=1)).is_file(), source
