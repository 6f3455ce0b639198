"""Control processes on sockets, clients of their resource streams, certificates, and gRPC backends."""

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

CONFIGURATION = """
sender {{ name t; listen 127.0.0.1:0 }}
class fee-order {{ aim 3s; deadline 24s; repeat never }}
class event-notice {{ aim 3s; deadline 24s; repeat keyed for 6s }}
class status-update {{ aim 3s; deadline 28s; repeat freely }}
kind one {{ per-call 1 }}
pool p {{ kind one; {limit} {endpoints} }}
route 7 {{ pool p; classes fee-order, event-notice, status-update }}
"""
# The same classes as arguments of the stand-ins.
CLASS_FLAGS = ("--class", "fee-order=never", "--class", "event-notice=keyed:6", "--class", "status-update=freely")
TTL_FEATURE = "xds.config.supports-resource-ttl"


def write_configuration(folder, *ports, limit="", **states):
    """Write a configuration with endpoints e0, e1, ... at these ports; `states` has the states that are not ready."""
    rows = " ".join(
        f"endpoint e{n} {{ at 127.0.0.1:{port}; state {states.get(f'e{n}', 'ready')} }}" for n, port in enumerate(ports)
    )
    (folder / "site.scale").write_text(CONFIGURATION.format(endpoints=rows, limit=limit))


class LoggedProcess(Process):
    """A process that logs JSON objects, one a line; `output` has all lines."""

    def __init__(self, *command):
        self.output, self._output_ended = [], threading.Event()
        super().__init__(*command)

    def _read(self):
        for line in self.child.stdout:
            self.output.append(line.rstrip("\n"))
            self.lines.put(self.output[-1])
        self.lines.put(None)
        self._output_ended.set()

    def end(self, number=signal.SIGKILL):
        code = super().end(number)
        assert self._output_ended.wait(PROCESS_TIMEOUT_S)  # the last lines have been read
        return code

    def event(self, name, **fields):
        """Return the next line of an event with these fields."""
        until = time.monotonic() + PROCESS_TIMEOUT_S
        while time.monotonic() < until:
            row = json.loads(self.line(f'"event": "{name}"'))
            if all(row.get(key) == value for key, value in fields.items()):
                return row
        raise AssertionError(f"no event {name} with the fields {fields} within {PROCESS_TIMEOUT_S} s")


class ControlProcess(LoggedProcess):
    """A `scalefall control` process on a configuration folder."""

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

    def wait_until_ready(self):
        self.address = json.loads(self.line("ready: control"))["listen"]
        return self


@contextlib.contextmanager
def running_control(folder, *flags, **options):
    """Run a control process for the block, on plaintext unless flags are given."""
    process = ControlProcess(folder, *(flags or ("--plain-text",)), **options)
    try:
        yield process.wait_until_ready()
    finally:
        if process.child.poll() is None:
            process.end()


def reload_configuration(process):
    """Send SIGHUP; the process logs an event once it has reloaded its configuration."""
    process.child.send_signal(signal.SIGHUP)


def unwrap(packed):
    """Return a state-of-the-world resource's body, its time to live in us (0 for none) and its name if it has one."""
    if packed.Is(discovery_pb2.Resource.DESCRIPTOR):
        wrapped = discovery_pb2.Resource()
        packed.Unpack(wrapped)
        return wrapped.resource, wrapped.ttl.ToMicroseconds(), wrapped.name
    return packed, 0, ""


class ResourceStream:
    """An incremental or state-of-the-world stream, with one call per message."""

    def __init__(self, channel, incremental=False, node="n", features=(TTL_FEATURE,)):
        self.request_type = discovery_pb2.DeltaDiscoveryRequest if incremental else discovery_pb2.DiscoveryRequest
        self.node, self.incremental = {"id": node, "client_features": features}, incremental
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        self._is_first_request = True
        self._requests = queue.SimpleQueue()
        open_stream = stub.DeltaAggregatedResources if incremental else stub.StreamAggregatedResources
        self.call = open_stream(iter(self._requests.get, None), timeout=PROCESS_TIMEOUT_S)

    def request(self, type_url, *names, **fields):
        names_field = "resource_names_subscribe" if self.incremental else "resource_names"
        node, self._is_first_request = (self.node if self._is_first_request else None), False
        self._requests.put(self.request_type(type_url=type_url, node=node, **{names_field: names}, **fields))

    def receive(self):
        return next(self.call)

    def acknowledge(self, response, *names, **fields):
        self.request(response.type_url, *names, response_nonce=response.nonce, **fields)

    def end(self):
        self._requests.put(None)
        self.call.cancel()


def final_status(call):
    """Return the status code and the text that a call ends with."""
    with contextlib.suppress(grpc.RpcError):
        for _ in call:
            pass
    return call.code(), call.details()


class Authority:
    """A certificate authority that writes PEM files into a folder."""

    def __init__(self, folder, name="ca"):
        self.folder, self.key = pathlib.Path(folder), ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.name, self.key.public_key(), x509.BasicConstraints(True, None), (), 1)
        self.path = self.write(f"{name}.pem", self.certificate.public_bytes(serialization.Encoding.PEM))

    def write(self, name, data):
        new_path = self.folder / (name + ".new")
        new_path.write_bytes(data)
        new_path.replace(self.folder / name)
        return str(self.folder / name)

    def issue(self, name, *nodes, days=1, file=None):
        """Write a certificate that names these nodes and its key; return both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        names = [x509.DNSName(node) for node in nodes] + [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
        certificate = self._sign(subject, key.public_key(), x509.BasicConstraints(False, None), names, days)
        pem = key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        self.write(f"{file or name}.key", pem)
        return (
            self.write(f"{file or name}.pem", certificate.public_bytes(serialization.Encoding.PEM)),
            str(self.folder / f"{file or name}.key"),
        )

    def _sign(self, subject, public, constraints, names, days):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
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
            builder = builder.add_extension(x509.SubjectAlternativeName(names), False)
        return builder.sign(self.key, hashes.SHA256())


GRPC_XDS_CLIENT_CODE = """
import sys, grpc
call = grpc.insecure_channel("xds:///route-7").unary_unary("/toy.Toy/Who")
for line in sys.stdin:
    try:
        print(*sorted({call(b"", timeout=20, wait_for_ready=True).decode() for _ in range(20)}), flush=True)
    except grpc.RpcError as error:
        print(error.code().name, error.details().replace(chr(10), " "), flush=True)
"""


class GrpcXdsClient:
    """gRPC's own xDS client, without code of this project."""

    def __init__(self, address):
        bootstrap = {
            "xds_servers": [
                {"server_uri": address, "channel_creds": [{"type": "insecure"}], "server_features": ["xds_v3"]}
            ],
            "node": {"id": "stock"},
        }
        self.child = subprocess.Popen(
            [sys.executable, "-c", GRPC_XDS_CLIENT_CODE],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={"GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap), "PATH": ""},
        )

    def answering_backends(self):
        """Make 20 calls; return the names of the backends that answered."""
        self.child.stdin.write("?\n")
        self.child.stdin.flush()
        return self.child.stdout.readline().split()

    def end(self):
        self.child.kill()
        self.child.communicate()


@contextlib.contextmanager
def backends(*names):
    """Run gRPC servers that answer with their names; yield their ports."""
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
