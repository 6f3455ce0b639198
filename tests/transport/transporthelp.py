"""A control process on sockets, raw streams to it, and certificates for both."""

import contextlib
import datetime
import ipaddress
import json
import pathlib
import queue
import signal
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from test_program import PROCESS_TIMEOUT_S, ROOT, Process

SITE = """
sender {{ name t; listen 127.0.0.1:0 }}
class fee-order {{ aim 3s; deadline 24s; repeat never }}
class event-notice {{ aim 3s; deadline 24s; repeat keyed for 6s }}
class status-update {{ aim 3s; deadline 28s; repeat freely }}
kind one {{ per-call 1 }}
pool p {{ kind one; {limit} {endpoints} }}
route 7 {{ pool p; classes fee-order, event-notice, status-update }}
"""
# the same classes for the stand-ins
CLASSES = ("--class", "fee-order=never", "--class", "event-notice=keyed:6", "--class", "status-update=freely")
TTL = "xds.config.supports-resource-ttl"


def write_site(folder, *ports, limit="", **states):
    """Endpoints e0, e1, ... at these ports; states by name, else ready."""
    rows = " ".join(
        f"endpoint e{n} {{ at 127.0.0.1:{port}; state {states.get(f'e{n}', 'ready')} }}" for n, port in enumerate(ports)
    )
    (folder / "site.scale").write_text(SITE.format(endpoints=rows, limit=limit))


class LoggedProcess(Process):
    """A process whose lines are JSON objects; said has every one of them."""

    def __init__(self, *command):
        self.printed, self._whole = [], threading.Event()
        super().__init__(*command)

    def _read(self):
        for line in self.child.stdout:
            self.printed.append(line.rstrip("\n"))
            self.lines.put(self.printed[-1])
        self.lines.put(None)
        self._whole.set()

    def end(self, number=signal.SIGKILL):
        code = super().end(number)
        assert self._whole.wait(PROCESS_TIMEOUT_S)  # its last lines have been read
        return code

    def event(self, name, **fields):
        """The next line of an event with these fields."""
        until = time.monotonic() + PROCESS_TIMEOUT_S
        while time.monotonic() < until:
            row = json.loads(self.line(f'"event": "{name}"'))
            if all(row.get(key) == value for key, value in fields.items()):
                return row
        raise AssertionError(f"no {name} with {fields}")


class ControlProcess(LoggedProcess):
    def __init__(self, folder, *flags, state="state"):
        (folder / state).mkdir(exist_ok=True)
        super().__init__(
            "-m",
            "scalefall",
            "control",
            "--config",
            str(folder),
            "--state",
            str(folder / state),
            "--listen",
            "127.0.0.1:0",
            "--log-format",
            "json",
            *flags,
        )

    def ready(self):
        self.address = json.loads(self.line("ready: control"))["listen"]
        return self


@contextlib.contextmanager
def running_control(folder, *flags, **more):
    process = ControlProcess(folder, *(flags or ("--plain-text",)), **more)
    try:
        yield process.ready()
    finally:
        if process.child.poll() is None:
            process.end()


def reload_configuration(process):
    """Ask a control process to read its configuration again; it answers with an event."""
    process.child.send_signal(signal.SIGHUP)


def unwrap(packed):
    """A state-of-the-world resource's body, its time to live in us (0: none) and its name (if that is known)."""
    if packed.Is(discovery_pb2.Resource.DESCRIPTOR):
        wrapped = discovery_pb2.Resource()
        packed.Unpack(wrapped)
        return wrapped.resource, wrapped.ttl.ToMicroseconds(), wrapped.name
    return packed, 0, ""


class DiscoveryStream:
    """One incremental or whole stream, message by message."""

    def __init__(self, channel, incremental=False, node="n", features=(TTL,)):
        self.kind = discovery_pb2.DeltaDiscoveryRequest if incremental else discovery_pb2.DiscoveryRequest
        self.node, self.incremental = {"id": node, "client_features": features}, incremental
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        self._sent, self.first = [], True
        self._more = queue.SimpleQueue()
        open_ = stub.DeltaAggregatedResources if incremental else stub.StreamAggregatedResources
        self.call = open_(iter(self._more.get, None), timeout=PROCESS_TIMEOUT_S)

    def request(self, kind, *names, **more):
        word = "resource_names_subscribe" if self.incremental else "resource_names"
        node, self.first = (self.node if self.first else None), False
        self._more.put(self.kind(type_url=kind, node=node, **{word: names}, **more))

    def receive(self):
        return next(self.call)

    def acknowledge(self, response, *names, **more):
        self.request(response.type_url, *names, response_nonce=response.nonce, **more)

    def end(self):
        self._more.put(None)
        self.call.cancel()


def final_status(call):
    """How a call ends."""
    with contextlib.suppress(grpc.RpcError):
        for _ in call:
            pass
    return call.code(), call.details()


class Authority:
    """Certificates of one authority, written as PEM files into a folder."""

    def __init__(self, folder, name="ca"):
        self.folder, self.key = pathlib.Path(folder), ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.name, self.key.public_key(), x509.BasicConstraints(True, None), (), 1)
        self.path = self.write(f"{name}.pem", self.certificate.public_bytes(serialization.Encoding.PEM))

    def write(self, name, data):
        path = self.folder / (name + ".new")
        path.write_bytes(data)
        path.replace(self.folder / name)
        return str(self.folder / name)

    def pair(self, name, *nodes, days=1, file=None):
        """Paths of a certificate that names these nodes, and of its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        names = [x509.DNSName(node) for node in nodes] + [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
        made = self._sign(subject, key.public_key(), x509.BasicConstraints(False, None), names, days)
        pem = key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        self.write(f"{file or name}.key", pem)
        return (
            self.write(f"{file or name}.pem", made.public_bytes(serialization.Encoding.PEM)),
            str(self.folder / f"{file or name}.key"),
        )

    def _sign(self, subject, public, constraints, names, days):
        now = datetime.datetime.now(datetime.UTC)
        made = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(public)
            .serial_number(x509.random_serial_number())
            .add_extension(constraints, True)
            .not_valid_before(now - datetime.timedelta(days=9))
            .not_valid_after(now + datetime.timedelta(days=days))
        )
        if names:
            made = made.add_extension(x509.SubjectAlternativeName(names), False)
        return made.sign(self.key, hashes.SHA256())


STOCK_CLIENT = """
import sys, grpc
call = grpc.insecure_channel("xds:///route-7").unary_unary("/toy.Toy/Who")
for line in sys.stdin:
    try:
        print(*sorted({call(b"", timeout=20, wait_for_ready=True).decode() for _ in range(20)}), flush=True)
    except grpc.RpcError as error:
        print(error.code().name, error.details().replace(chr(10), " "), flush=True)
"""


class StockClient:
    """gRPC's own xDS client, which knows nothing of scalefall."""

    def __init__(self, at):
        bootstrap = {
            "xds_servers": [{"server_uri": at, "channel_creds": [{"type": "insecure"}], "server_features": ["xds_v3"]}],
            "node": {"id": "stock"},
        }
        self.child = subprocess.Popen(
            [sys.executable, "-c", STOCK_CLIENT],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={"GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap), "PATH": ""},
        )

    def who(self):
        """Who answered 20 calls."""
        self.child.stdin.write("?\n")
        self.child.stdin.flush()
        return self.child.stdout.readline().split()

    def end(self):
        self.child.kill()
        self.child.communicate()


@contextlib.contextmanager
def backends(*names):
    """Their ports; each answers its name."""
    servers, ports = [], []
    for name in names:
        server = grpc.server(ThreadPoolExecutor(2))
        method = grpc.unary_unary_rpc_method_handler(lambda _, __, name=name: name.encode())
        server.add_generic_rpc_handlers([grpc.method_handlers_generic_handler("toy.Toy", {"Who": method})])
        ports.append(server.add_insecure_port("127.0.0.1:0"))
        server.start()
        servers.append(server)
    try:
        yield ports
    finally:
        for server in servers:
            server.stop(None)
