"""`scalefall control`: the control service for other proxies. Its libraries are imported only when it starts."""

from __future__ import annotations

import ipaddress
import logging
import signal

import click

from scalefall.assignment.sharding import MAX_SHARDS
from scalefall.cli import logs, output
from scalefall.cli.output import option
from scalefall.cli.run import configuration
from scalefall.cli.run import writable_folder
from scalefall.control import audit
from scalefall.lang.files import ROOT_FILE
from scalefall.net.config import ConfigError, read_address
from scalefall.net.logs import log

MISSING_LIBRARY = "the control service needs {}: pip install 'scalefall[tools,control]'"


def _listen(context: click.Context, parameter: click.Parameter, value: str) -> str:
    try:
        host, port = read_address(value, "it")
        ipaddress.ip_address(host.strip("[]"))
        return f"{host}:{port}"
    except (ConfigError, ValueError) as error:
        raise click.BadParameter(str(error)) from None


@click.group(
    invoke_without_command=True,
    epilog="""\b
Examples:
  scalefall control --config site.scale --state /var/lib/scalefall-control --listen 10.0.0.5:18000 \\
                    --certificate control.pem --key control.key --clients proxies-ca.pem
  scalefall control --config site.scale --state state --plain-text         on loopback only
\b
SIGHUP reads the configuration again. Replaced certificates apply to new connections.
Exit code 2: it could not start.""",
)
@option(
    "--config",
    "path",
    type=click.Path(),
    default=ROOT_FILE,
    show_default=True,
    help="Read this configuration: a file, or a folder with a site.scale.",
)
@option(
    "--state",
    callback=lambda *args: args[2] and writable_folder(*args),
    help="Keep persistent state in this folder. Processes that share it are standbys of each other.",
)
@option(
    "--listen",
    metavar="ADDRESS:PORT",
    default="127.0.0.1:18000",
    show_default=True,
    callback=_listen,
    help="Accept proxies at this address: ADS, load reports and quotas.",
)
@option("--certificate", type=click.Path(), help="Use this server certificate, PEM, with its chain.")
@option("--key", type=click.Path(), help="Use this private key, PEM.")
@option("--clients", type=click.Path(), help="Accept proxies with certificates from these authorities, PEM.")
@option("--plain-text", is_flag=True, help="Use no certificates and authenticate no proxy. Allowed on loopback only.")
@option(
    "--lease",
    type=click.FloatRange(0.5, 60),
    default=2.0,
    show_default=True,
    help="Let a grant last this many seconds. A decrease of an allowance takes lease + delay at most.",
)
@option(
    "--delay",
    type=click.FloatRange(0, 60),
    default=0.5,
    show_default=True,
    help="Assume that a message to a client that does not number its reports takes this many seconds at most.",
)
@option(
    "--endpoint-lease",
    type=click.FloatRange(0.3, 60),
    default=0.9,
    show_default=True,
    help="Let a proxy trust its endpoints this many seconds without an update: under 1 for the drain rule.",
)
@option(
    "--report-every",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    help="Request load reports at this interval, in seconds.",
)
@option(
    "--shards",
    type=click.IntRange(0, MAX_SHARDS),
    default=0,
    show_default=True,
    help="Divide destinations among senders, in this many shards; 0: every client gets all destinations.",
)
@option(
    "--move-after",
    type=click.FloatRange(0, 3600),
    default=3.0,
    show_default=True,
    help="With --shards: wait this many seconds for a lost sender, as for a restart, before its shards move.",
)
@option(
    "--sender-load",
    type=click.FloatRange(0),
    default=0.0,
    show_default=True,
    help="With --shards: let several senders share a destination above this many calls per second; 0: never.",
)
@option("--log-level", type=click.Choice(logs.LEVELS), default="info", show_default=True)
@option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Log text lines, or one JSON object per line.",
)
@click.pass_context
def control(
    context: click.Context,
    path: str,
    state: str | None,
    listen: str,
    certificate: str | None,
    key: str | None,
    clients: str | None,
    plain_text: bool,
    lease: float,
    delay: float,
    endpoint_lease: float,
    report_every: float,
    shards: int,
    move_after: float,
    sender_load: float,
    log_level: str,
    log_format: str,
) -> None:
    """Serve decisions to other proxies over xDS. Run until SIGTERM; with a subcommand, run only that."""
    if context.invoked_subcommand:
        return
    if state is None:
        raise click.UsageError("--state is needed: a folder for persistent state")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a SIGHUP before the service is ready must not end it
    certificate_options = [word for word in (certificate, key, clients) if word]
    if plain_text and certificate_options:
        raise click.UsageError("--plain-text cannot be combined with --certificate, --key or --clients")
    if not plain_text and len(certificate_options) < 3:
        raise click.UsageError("--certificate, --key and --clients are needed, or --plain-text on loopback")
    if plain_text and not ipaddress.ip_address(listen.rpartition(":")[0].strip("[]")).is_loopback:
        raise click.UsageError(f"--plain-text is for loopback only, not for {listen}")
    try:
        from scalefall.control.transport import run, tls
        from scalefall.control.transport.options import ServerOptions, ShardingOptions
        from scalefall.control.transport.state import StateDirectory, StateDirectoryError
    except ModuleNotFoundError as error:
        if error.name.startswith("scalefall"):
            raise
        output.cannot_run(MISSING_LIBRARY.format(error.name))
    start, read_again = configuration(path, state, {})
    logs.set_up(log_level, log_format)

    def log_certificate_event(line: str, succeeded: bool) -> None:
        log.log(logging.INFO if succeeded else logging.ERROR, "%s", line)

    sharding = ShardingOptions(shards, int(move_after * 1_000_000), sender_load) if shards else None
    durations_us = (int(each * 1_000_000) for each in (lease, delay, endpoint_lease, report_every))
    options = ServerOptions(listen, *durations_us, sharding)
    try:
        certificates = (
            None
            if plain_text
            else tls.CertificateStore(tls.CertificatePaths(certificate, key, clients), log_certificate_event)
        )
        run.run(start.config, options, StateDirectory(state), certificates, read_again)
    except (tls.CertificateError, StateDirectoryError, OSError) as error:
        output.cannot_run(str(error))


@control.command(
    "audit",
    epilog="""\b
Example:
  scalefall control audit control.log proxy-*.log partner.log
\b
Exit code 0: no rule was broken, as far as the logs show. 1: a rule was broken. 2: a log could not be read.""",
)
@click.argument("logs_", metavar="LOG...", nargs=-1, required=True, type=click.Path())
def audit_command(logs_: tuple[str, ...]) -> None:
    """Check the rules of operation in JSON logs of control (--log-level debug), proxies and destinations."""
    lines: list[str] = []
    for path in logs_:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += file.read().splitlines()
        except OSError as error:
            output.cannot_run(f"{path}: {error.strerror}")
    rows, foreign = audit.read_log(lines)
    findings = audit.audit(rows)
    click.echo(audit.format_findings(findings, foreign), nl=False)
    raise SystemExit(1 if any(finding.violations for finding in findings) else 0)
