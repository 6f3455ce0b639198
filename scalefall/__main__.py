"""`python -m scalefall` runs the platform's sender; with arguments it runs the command line, imported only then."""

import os
import sys


def sender() -> int:
    """Run the platform's sender until a signal stops it; return the exit code, 2 if it cannot start."""
    from scalefall.net import config, logs, sender

    logs.log_to_standard_error(os.environ.get("SCALEFALL_LOG") == "debug")
    try:
        sender.run(config.read_config(os.environ), lambda: config.read_config(os.environ, reloading=True))
    except (config.ConfigError, OSError) as error:
        print(f"scalefall: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run the sender or, with arguments, the command line; return the exit code."""
    if len(sys.argv) < 2 and "_SCALEFALL_COMPLETE" not in os.environ:
        return sender()
    from scalefall.cli import entry

    return entry()


if __name__ == "__main__":
    sys.exit(main())
