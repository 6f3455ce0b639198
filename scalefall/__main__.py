"""Bare, `python -m scalefall` is the platform's sender; with words behind it, the command line, loaded only then."""

import os
import sys


def sender() -> int:
    from scalefall.net.config import ConfigError, read_config
    from scalefall.net.logs import log_to_standard_error
    from scalefall.net.sender import run

    log_to_standard_error(os.environ.get("SCALEFALL_LOG") == "debug")
    try:
        run(read_config(os.environ), lambda: read_config(os.environ, again=True))
    except (ConfigError, OSError) as error:
        print(f"scalefall: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    if len(sys.argv) < 2 and "_SCALEFALL_COMPLETE" not in os.environ:
        return sender()
    from scalefall.cli import entry

    return entry()


if __name__ == "__main__":
    sys.exit(main())
