"""What the deploy file's build leaves behind for its run."""

import pathlib
import shutil
import subprocess
import sys
import tomllib
from importlib.util import cache_from_source

ROOT = pathlib.Path(__file__).parent.parent


def test_the_build_compiles_what_the_run_loads(tmp_path):
    """Run may write nothing (-B), so what is not compiled by then is compiled anew by each start of each sender."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert " -O -B " in deploy["run"]
    shutil.copytree(ROOT / "scalefall", tmp_path / "scalefall", ignore=shutil.ignore_patterns("__pycache__"))
    compiling = deploy["build"].rsplit(" && ", 1)[1].replace(".venv/bin/python", sys.executable)
    subprocess.run(compiling, shell=True, cwd=tmp_path, check=True)
    sources = list(tmp_path.rglob("*.py"))
    assert len(sources) > 10
    for source in sources:
        assert pathlib.Path(cache_from_source(str(source), optimization=1)).is_file(), source
