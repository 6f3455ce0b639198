"""Certificates: this service's own, who may connect, and which node a certificate is for.

The files are looked at for each new connection: a pair or an authority that was replaced counts from the next one on,
with no restart. Replacing that is half done (a key that doesn't belong to the certificate) leaves the old pair in use.
A certificate names its node by a DNS or URI entry of its subject alternative name that equals the node id.
"""

from __future__ import annotations

import datetime
import os
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache

import grpc
from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

MOST_BYTES = 1_000_000
MOST_CHECKED = 10_000  # certificates whose signature is remembered


class CertificateError(Exception):
    """The files can't be used; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class CertificatePaths:
    certificate: str
    key: str
    clients: str  # the authorities that proxies' certificates are signed by


@dataclass(slots=True, frozen=True)
class CertificatePair:
    certificate: bytes
    key: bytes
    clients: bytes
    ends: datetime.datetime


def read(paths: CertificatePaths, now: datetime.datetime) -> CertificatePair:
    certificate, key, clients = (_bytes(path) for path in (paths.certificate, paths.key, paths.clients))
    chain = _certificates(certificate, paths.certificate)
    _certificates(clients, paths.clients)
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError) as error:
        raise CertificateError(
            f"{paths.key} holds no private key that can be read: {str(error).splitlines()[0]}"
        ) from None
    if _public(private.public_key()) != _public(chain[0].public_key()):
        raise CertificateError(f"{paths.key} is not the key of {paths.certificate}")
    if chain[0].not_valid_after_utc <= now:
        raise CertificateError(f"{paths.certificate} ended at {chain[0].not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
    return CertificatePair(certificate, key, clients, chain[0].not_valid_after_utc)


class CertificateStore:
    """The pair in use. `tell` is called with a line for the log when files change or can't be used."""

    def __init__(self, paths: CertificatePaths, tell: Callable[[str, bool], None]) -> None:
        self._paths, self._tell = paths, tell
        self._seen = self._marks()
        self.pair = read(paths, _now())

    def credentials(self) -> grpc.ServerCredentials:
        return grpc.dynamic_ssl_server_credentials(_configuration(self.pair), self._fetch, True)

    def _fetch(self) -> grpc.ServerCertificateConfiguration | None:
        """Called for each handshake, in a thread of the library; None: no change."""
        marks = self._marks()
        if marks == self._seen:
            return None
        self._seen = marks
        try:
            self.pair = read(self._paths, _now())
        except CertificateError as error:
            self._tell(f"certificates stay as they were: {error}", False)
            return None
        self._tell(f"certificates replaced: valid until {self.pair.ends:%Y-%m-%d %H:%M} UTC", True)
        return _configuration(self.pair)

    def _marks(self) -> list[tuple[int, int, int]]:
        marks = []
        for path in (self._paths.certificate, self._paths.key, self._paths.clients):
            try:
                stat = os.stat(path)
                marks.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
            except OSError:
                marks.append((0, 0, 0))
        return marks

    def trusts(self, certificate: bytes) -> bool:
        """Whether an authority in use now has signed it: one that was taken out ends its proxies' streams."""
        return _signed(certificate, self.pair.clients)


def identity(certificate: bytes) -> tuple[frozenset[str], float]:
    """The nodes that a client's certificate is for, and when it ends, as seconds of the wall clock."""
    try:
        theirs = x509.load_pem_x509_certificate(certificate)
        names = theirs.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (ValueError, x509.ExtensionNotFound):
        return frozenset(), 0.0
    return (
        frozenset(names.get_values_for_type(x509.DNSName) + names.get_values_for_type(x509.UniformResourceIdentifier)),
        theirs.not_valid_after_utc.timestamp(),
    )


@lru_cache(maxsize=MOST_CHECKED)
def _signed(certificate: bytes, authorities: bytes) -> bool:
    """Asked again and again of every stream, and the same until the authorities change."""
    try:
        theirs = x509.load_pem_x509_certificate(certificate)
        for authority in x509.load_pem_x509_certificates(authorities):
            try:
                theirs.verify_directly_issued_by(authority)
                return True
            except (ValueError, TypeError, InvalidSignature):
                continue
    except ValueError:
        pass
    return False


def _configuration(pair: CertificatePair) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration([(pair.key, pair.certificate)], pair.clients)


def _certificates(data: bytes, path: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        raise CertificateError(f"{path} holds no certificate that can be read") from None


def _public(key: object) -> bytes:
    return key.public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)


def _bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(MOST_BYTES)
    except OSError as error:
        raise CertificateError(f"{path}: {error.strerror}") from None


def _now() -> datetime.datetime:
    return datetime.datetime.now(datetime.timezone.utc)
