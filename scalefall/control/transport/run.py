"""A control process from its start to its end: signals, and reading the configuration again."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

from scalefall.control.catalog import InconsistentResourcesError
from scalefall.control.transport.tls import CertificateStore
from scalefall.control.transport.server import ControlServer, ServerOptions
from scalefall.control.transport.state import StateDirectory
from scalefall.net.checks import log, report
from scalefall.net.config import Config, ConfigError


MARGIN_MS = 500  # for a report's way through this process, where the audit asks when a wait must have been heard


def run(
    config: Config,
    options: ServerOptions,
    folder: StateDirectory,
    held: CertificateStore | None,
    read_again: Callable[[], Config],
) -> None:
    """Serve until SIGTERM or SIGINT. SIGHUP reads the configuration again. OSError if it can't listen;
    state.StateDirectoryError if the folder can't be used."""
    asyncio.run(_serve(config, options, folder, held, read_again))


async def _serve(
    config: Config,
    options: ServerOptions,
    folder: StateDirectory,
    held: CertificateStore | None,
    read_again: Callable[[], Config],
) -> None:
    loop, end, again = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end.set)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    control = ControlServer(config, options, folder, held)
    await control.start()
    reloads = asyncio.create_task(_reload(control, again, read_again))
    log.info(
        "ready: control at %s",
        control.address,
        extra={
            "fields": {
                "listen": control.address,
                "wait_heard_ms": (options.report_us + options.lease_us + options.delay_us) // 1000 + MARGIN_MS,
            }
        },
    )
    await end.wait()
    reloads.cancel()
    await control.stop()
    log.info("ended")
    report()


async def _reload(control: ControlServer, again: asyncio.Event, read_again: Callable[[], Config]) -> None:
    while True:
        await again.wait()
        again.clear()
        began = time.monotonic()
        try:
            config = await asyncio.get_running_loop().run_in_executor(None, read_again)
            control.configure(config)
        except (ConfigError, InconsistentResourcesError) as error:
            log.error("configuration not taken, the one in force stays: %s", error)
            continue
        for line in config.left:
            log.warning("not taken until a restart: %s", line)
        log.info("configuration read again: in %.0f ms", 1000 * (time.monotonic() - began))
