"""TLS certificates: the service's own, the authorities of clients, and the nodes that a client certificate names.

The files are checked at each new connection, so a replaced certificate, key or authority is used from the next
connection on, without a restart. While they are inconsistent (the key does not match the certificate), the old ones
stay in use. A certificate names its node by a DNS or URI entry of its subject alternative name that equals the node id.
"""

from __future__ import annotations

import datetime
import os
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

import grpc
from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.types import CertificatePublicKeyTypes, PublicKeyTypes
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from scalefall.errors import ConfigurationError

MAX_FILE_BYTES = 1_000_000  # the most that is read of a PEM file: far more than a certificate chain
MAX_CACHED_SIGNATURES = 10_000  # client certificates with a cached signature check: twice MAX_STREAMS


class CertificateError(ConfigurationError):
    """The certificate files cannot be used; the text is a single line."""


@dataclass(slots=True, frozen=True)
class CertificatePaths:
    """The paths of the PEM files.

    Attributes:
        certificate: This service's certificate with its chain.
        key: Its private key.
        clients: The authorities that sign the clients' certificates.
    """

    certificate: str
    key: str
    clients: str


@dataclass(slots=True, frozen=True)
class CertificatePair:
    """The validated contents of the files, in PEM.

    Attributes:
        certificate: This service's certificate with its chain.
        key: Its private key.
        clients: The authorities that sign the clients' certificates.
        expires: When the service's certificate expires, in UTC.
    """

    certificate: bytes
    key: bytes
    clients: bytes
    expires: datetime.datetime


@dataclass(slots=True, frozen=True)
class ClientCertificate:
    """A client's certificate.

    Attributes:
        pem: The certificate in PEM.
        nodes: The node ids that it names; empty if it cannot be parsed or names none.
        expires_s: When it expires, in seconds of the wall clock.
    """

    pem: bytes
    nodes: frozenset[str]
    expires_s: float


class _FileVersion(NamedTuple):
    """Attributes of a file that differ once it has been replaced; zeros for a missing file."""

    modified_ns: int
    size_bytes: int
    inode: int


def read(paths: CertificatePaths, now: datetime.datetime) -> CertificatePair:
    """Read and validate the files.

    Args:
        paths: Their paths.
        now: The time at which the certificate must not have expired, in UTC.

    Raises:
        CertificateError: A file cannot be read, the key does not match the certificate, or the certificate has expired.
    """
    certificate, key, clients = (_read_file(path) for path in (paths.certificate, paths.key, paths.clients))
    leaf = _parse_certificates(certificate, paths.certificate)[0]
    _parse_certificates(clients, paths.clients)
    try:
        private_key = load_pem_private_key(key, None)
    except (ValueError, TypeError) as error:
        reason = str(error).splitlines()[0]
        raise CertificateError(f"{paths.key} contains no readable private key: {reason}") from None
    if _public_bytes(private_key.public_key()) != _public_bytes(leaf.public_key()):
        raise CertificateError(f"{paths.key} is not the key of {paths.certificate}")
    if leaf.not_valid_after_utc <= now:
        raise CertificateError(f"{paths.certificate} expired at {leaf.not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
    return CertificatePair(certificate, key, clients, leaf.not_valid_after_utc)


class CertificateStore:
    """The certificates in use, read again when the files change."""

    def __init__(self, paths: CertificatePaths, report: Callable[[str, bool], None]) -> None:
        """Read the files.

        Args:
            paths: Their paths.
            report: Called when files change or cannot be used, with a log line, and whether they are in use now.

        Raises:
            CertificateError: The files cannot be used.
        """
        self._paths = paths
        self._report = report
        self._versions = self._file_versions()
        self.pair = read(paths, _utc_now())

    def credentials(self) -> grpc.ServerCredentials:
        """Return gRPC credentials that require a client certificate and use replaced files."""
        return grpc.dynamic_ssl_server_credentials(_server_configuration(self.pair), self._fetch_configuration, True)

    def trusts(self, certificate: bytes) -> bool:
        """Return whether a currently trusted authority has signed a client's certificate, given as PEM.

        It is false after the authority was removed from the file, which ends its clients' streams.
        """
        return _is_signed_by(certificate, self.pair.clients)

    def _fetch_configuration(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the new configuration if the files have changed since the last handshake; else None.

        gRPC calls this for each handshake, in a thread of its own.
        """
        versions = self._file_versions()
        if versions == self._versions:
            return None
        self._versions = versions
        try:
            self.pair = read(self._paths, _utc_now())
        except CertificateError as error:
            self._report(f"certificate files cannot be used, the previous ones stay in use: {error}", False)
            return None
        self._report(f"certificates replaced: valid until {self.pair.expires:%Y-%m-%d %H:%M} UTC", True)
        return _server_configuration(self.pair)

    def _file_versions(self) -> list[_FileVersion]:
        return [_file_version(path) for path in (self._paths.certificate, self._paths.key, self._paths.clients)]


def read_client_certificate(pem: bytes) -> ClientCertificate:
    """Parse a client's certificate."""
    try:
        certificate = x509.load_pem_x509_certificate(pem)
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (ValueError, x509.ExtensionNotFound):
        return ClientCertificate(pem, frozenset(), 0.0)
    dns_names = names.get_values_for_type(x509.DNSName)
    uris = names.get_values_for_type(x509.UniformResourceIdentifier)
    return ClientCertificate(pem, frozenset(dns_names + uris), certificate.not_valid_after_utc.timestamp())


@lru_cache(maxsize=MAX_CACHED_SIGNATURES)
def _is_signed_by(certificate: bytes, authorities: bytes) -> bool:
    """Return whether one of the authorities has signed a certificate; cached, as streams are checked periodically."""
    try:
        client = x509.load_pem_x509_certificate(certificate)
        issuers = x509.load_pem_x509_certificates(authorities)
    except ValueError:
        return False
    return any(_is_issued_by(client, issuer) for issuer in issuers)


def _is_issued_by(certificate: x509.Certificate, issuer: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(issuer)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True


def _server_configuration(pair: CertificatePair) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration([(pair.key, pair.certificate)], pair.clients)


def _parse_certificates(data: bytes, path: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        raise CertificateError(f"{path} contains no readable certificate") from None


def _public_bytes(key: PublicKeyTypes | CertificatePublicKeyTypes) -> bytes:
    return key.public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES)
    except OSError as error:
        raise CertificateError(f"{path}: {error.strerror}") from None


def _file_version(path: str) -> _FileVersion:
    try:
        stat = os.stat(path)
    except OSError:
        return _FileVersion(0, 0, 0)
    return _FileVersion(stat.st_mtime_ns, stat.st_size, stat.st_ino)


def _utc_now() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC)
