"""The command line: parse, call, print; what is computed stands in the packages below."""

import sys


def entry() -> int:
    """Run the command that the process was called with; without the libraries it needs, say which is missing."""
    try:
        from scalefall.cli.main import main
    except ModuleNotFoundError as error:
        if error.name.startswith("scalefall"):
            raise
        print(f"scalefall: the command line needs {error.name}: pip install 'scalefall[tools]'", file=sys.stderr)
        return 2
    return main(prog_name="scalefall")
