"""A control process from its start to its end: signals, and reading the configuration again."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

from scalefall.control.catalog import InconsistentResourcesError
from scalefall.control.transport.options import ServerOptions
from scalefall.control.transport.server import ControlServer
from scalefall.control.transport.state import StateDirectory
from scalefall.control.transport.tls import CertificateStore
from scalefall.net.config import Config, ConfigError
from scalefall.net.invariants import log_violations
from scalefall.net.logs import log

PROCESSING_MARGIN_MS = 500  # for a report's way through this process: the audit adds it to when a wait must be known


def run(
    config: Config,
    options: ServerOptions,
    directory: StateDirectory,
    certificates: CertificateStore | None,
    read_again: Callable[[], Config],
) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reads the configuration again.

    Args:
        config: The configuration to start with.
        options: How to serve it.
        directory: The state that lasts.
        certificates: The TLS certificates; None for plain text.
        read_again: Reads the configuration again; called in a thread of its own.

    Raises:
        OSError: It cannot listen.
        StateDirectoryError: The state directory cannot be used.
    """
    with directory:
        asyncio.run(_serve(config, options, directory, certificates, read_again))


async def _serve(
    config: Config,
    options: ServerOptions,
    directory: StateDirectory,
    certificates: CertificateStore | None,
    read_again: Callable[[], Config],
) -> None:
    loop = asyncio.get_running_loop()
    ended, reload_wanted = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload_wanted.set)
    server = ControlServer(config, options, directory, certificates)  # signals that come meanwhile are not lost
    await server.start()
    reloads = asyncio.create_task(_reload(server, reload_wanted, read_again))
    wait_known_ms = (options.report_us + options.lease_us + options.delay_us) // 1000 + PROCESSING_MARGIN_MS
    log.info(
        "ready: control at %s",
        server.address,
        extra={"fields": {"listen": server.address, "wait_heard_ms": wait_known_ms}},
    )
    await ended.wait()
    reloads.cancel()
    await server.stop()
    log.info("ended")
    log_violations()


async def _reload(server: ControlServer, wanted: asyncio.Event, read_again: Callable[[], Config]) -> None:
    """Read the configuration again each time that it is wanted; one that cannot be used changes nothing."""
    while True:
        await wanted.wait()
        wanted.clear()
        began = time.monotonic()
        try:
            config = await asyncio.get_running_loop().run_in_executor(None, read_again)
            server.configure(config)
        except (ConfigError, InconsistentResourcesError) as error:
            log.error("configuration not taken, the one in force stays: %s", error)
            continue
        for line in config.needs_restart:
            log.warning("not taken until a restart: %s", line)
        log.info("configuration read again: in %.0f ms", 1000 * (time.monotonic() - began))
