"""The command line: parses arguments, calls the other packages and prints their results."""

import sys


def entry() -> int:
    """Run the command line; return its exit code, 2 with a message if a library is missing."""
    try:
        from scalefall.cli.main import main
    except ModuleNotFoundError as error:
        if error.name.startswith("scalefall"):
            raise
        print(f"scalefall: the command line needs {error.name}: pip install 'scalefall[tools]'", file=sys.stderr)
        return 2
    return main(prog_name="scalefall")
