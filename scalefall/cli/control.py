"""`scalefall control`: the control service for other proxies. Its libraries are loaded only when it starts."""

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
SIGHUP reads the configuration again. Certificates that are replaced count from the next connection on.
Exit code 2: it could not start.""",
)
@option(
    "--config",
    "path",
    type=click.Path(),
    default=ROOT_FILE,
    show_default=True,
    help="The configuration's file, or a folder with a site.scale.",
)
@option(
    "--state",
    callback=lambda *args: args[2] and writable_folder(*args),
    help="The folder that lasts. Processes that share it stand by for each other.",
)
@option(
    "--listen",
    metavar="ADDRESS:PORT",
    default="127.0.0.1:18000",
    show_default=True,
    callback=_listen,
    help="Where proxies connect: ADS, load reports and quotas.",
)
@option("--certificate", type=click.Path(), help="This service's certificate, PEM, with its chain.")
@option("--key", type=click.Path(), help="Its private key, PEM.")
@option("--clients", type=click.Path(), help="The authorities of the proxies' certificates, PEM.")
@option("--plain-text", is_flag=True, help="No certificates: whoever connects is believed. On loopback only.")
@option(
    "--lease",
    type=click.FloatRange(0.5, 60),
    default=2.0,
    show_default=True,
    help="Seconds that a grant lasts. A fall of an allowance takes lease + delay at most.",
)
@option(
    "--delay",
    type=click.FloatRange(0, 60),
    default=0.5,
    show_default=True,
    help="The longest that a message may be under way to a client that does not number its reports.",
)
@option(
    "--endpoint-lease",
    type=click.FloatRange(0.3, 60),
    default=0.9,
    show_default=True,
    help="Seconds that a proxy trusts its endpoints without a word from here: under 1 for the drain rule.",
)
@option(
    "--report-every",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    help="Seconds between load reports.",
)
@option(
    "--shards",
    type=click.IntRange(0, MAX_SHARDS),
    default=0,
    show_default=True,
    help="Divide destinations among senders, in so many shards; 0: every client gets everything.",
)
@option(
    "--move-after",
    type=click.FloatRange(0, 3600),
    default=3.0,
    show_default=True,
    help="With --shards: seconds that a sender may be away, as for a restart, before its shards go to others.",
)
@option(
    "--sender-load",
    type=click.FloatRange(0),
    default=0.0,
    show_default=True,
    help="With --shards: calls a second to one destination above which several senders share it; 0: never.",
)
@option("--log-level", type=click.Choice(logs.LEVELS), default="info", show_default=True)
@option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Lines for people, or one JSON object each.",
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
    """Hand the decisions to other proxies over xDS, until SIGTERM. Without a command behind it, it serves."""
    if context.invoked_subcommand:
        return
    if state is None:
        raise click.UsageError("--state is needed: a folder that lasts")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes before it is ready must not end it
    given = [word for word in (certificate, key, clients) if word]
    if plain_text and given:
        raise click.UsageError("--plain-text goes with no certificates")
    if not plain_text and len(given) < 3:
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

    def tell(line: str, good: bool) -> None:
        log.log(logging.INFO if good else logging.ERROR, "%s", line)

    sharding = ShardingOptions(shards, int(move_after * 1_000_000), sender_load) if shards else None
    spans = (int(each * 1_000_000) for each in (lease, delay, endpoint_lease, report_every))
    options = ServerOptions(listen, *spans, sharding)
    try:
        held = None if plain_text else tls.CertificateStore(tls.CertificatePaths(certificate, key, clients), tell)
        run.run(start.config, options, StateDirectory(state), held, read_again)
    except (tls.CertificateError, StateDirectoryError, OSError) as error:
        output.cannot_run(str(error))


@control.command(
    "audit",
    epilog="""\b
Example:
  scalefall control audit control.log proxy-*.log partner.log
\b
Exit code 0: every rule that could be judged was kept. 1: one was broken. 2: a log could not be read.""",
)
@click.argument("logs_", metavar="LOG...", nargs=-1, required=True, type=click.Path())
def audit_command(logs_: tuple[str, ...]) -> None:
    """Say rule by rule whether the JSON logs of control (at --log-level debug), proxies and partners show it kept."""
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
    raise SystemExit(1 if any(found.violations for found in findings) else 0)
