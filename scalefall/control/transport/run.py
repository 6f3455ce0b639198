"""A control process from start to shutdown: signals and configuration reloads."""

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

PROCESSING_MARGIN_MS = 500  # time to handle a report; the audit expects its Retry-After to apply only after it


def run(
    config: Config,
    options: ServerOptions,
    directory: StateDirectory,
    certificates: CertificateStore | None,
    load_config: Callable[[], Config],
) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Args:
        config: The configuration to start with.
        options: The server's options.
        directory: The state directory.
        certificates: The TLS certificates; None for plaintext.
        load_config: Loads the configuration again; called in a thread of its own.

    Raises:
        OSError: The server cannot listen at its address.
        StateDirectoryError: The state directory cannot be used.
    """
    with directory:
        asyncio.run(_serve(config, options, directory, certificates, load_config))


async def _serve(
    config: Config,
    options: ServerOptions,
    directory: StateDirectory,
    certificates: CertificateStore | None,
    load_config: Callable[[], Config],
) -> None:
    loop = asyncio.get_running_loop()
    shutdown_requested, reload_requested = asyncio.Event(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    server = ControlServer(config, options, directory, certificates)  # after the handlers, so no signal is lost
    await server.start()
    reload_task = asyncio.create_task(_reload(server, reload_requested, load_config))
    retry_after_bound_ms = (options.report_us + options.lease_us + options.delay_us) // 1000 + PROCESSING_MARGIN_MS
    log.info(
        "ready: control at %s",
        server.address,
        extra={"fields": {"listen": server.address, "wait_heard_ms": retry_after_bound_ms}},
    )
    await shutdown_requested.wait()
    reload_task.cancel()
    await server.stop()
    log.info("ended")
    log_violations()


async def _reload(server: ControlServer, requested: asyncio.Event, load_config: Callable[[], Config]) -> None:
    """Reload the configuration on each request; an unusable one changes nothing."""
    while True:
        await requested.wait()
        requested.clear()
        began_s = time.monotonic()
        try:
            config = await asyncio.get_running_loop().run_in_executor(None, load_config)
            server.configure(config)
        except (ConfigError, InconsistentResourcesError) as error:
            log.error("configuration not taken, the one in force stays: %s", error)
            continue
        for line in config.needs_restart:
            log.warning("setting not applied, needs a restart: %s", line)
        log.info("configuration read again: in %.0f ms", 1000 * (time.monotonic() - began_s))
