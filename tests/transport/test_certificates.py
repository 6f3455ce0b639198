"""Certificates on sockets: who may connect, as which node, and replacing them without a restart."""

import pathlib
import signal

import grpc
from transporthelp import Authority, DiscoveryStream, final_status, running_control

from scalefall.control.catalog import CDS


def secure_channel(process, authority, pair):
    parts = [pathlib.Path(path).read_bytes() for path in (authority.path, *reversed(pair or ()))]
    return grpc.secure_channel(process.address, grpc.ssl_channel_credentials(*parts))


def first_answer(channel, node):
    with channel:
        stream = DiscoveryStream(channel, node=node)
        stream.request(CDS)
        try:
            return stream.receive().type_url
        except grpc.RpcError as error:
            return error.code().name


def test_certificates_are_asked_for_bound_to_the_node_and_replaced_without_a_restart(folder):
    ours, theirs = Authority(folder), Authority(folder, "other")
    certificate, key = ours.pair("control", "control")
    flags = ("--certificate", certificate, "--key", key, "--clients", ours.path)
    with running_control(folder, *flags) as process:
        n, expired, foreign = ours.pair("n", "n"), ours.pair("old", "n", days=-1), theirs.pair("f", "n")
        assert first_answer(secure_channel(process, ours, n), "n") == CDS
        assert first_answer(secure_channel(process, ours, n), "m") == "PERMISSION_DENIED"
        assert first_answer(secure_channel(process, ours, ours.pair("nameless")), "n") == "UNAUTHENTICATED"
        for pair in (None, expired, foreign):
            assert first_answer(secure_channel(process, ours, pair), "n") == "UNAVAILABLE"
        assert first_answer(grpc.insecure_channel(process.address), "n") == "UNAVAILABLE"
        channel = secure_channel(process, ours, n)
        held = DiscoveryStream(channel, node="n")
        held.request(CDS)
        assert held.receive().resources
        theirs.pair("control", "control")  # the authority and the pair are replaced, the key last
        ours.write("ca.pem", pathlib.Path(theirs.path).read_bytes())
        assert first_answer(secure_channel(process, theirs, theirs.pair("n2", "n")), "n") == CDS
        process.line("certificates replaced")
        assert final_status(held.call) == (
            grpc.StatusCode.UNAUTHENTICATED,
            "the certificate's authority is not trusted any more",
        )
        theirs.write("control.key", b"no key")
        still_served = secure_channel(process, theirs, theirs.pair("n3", "n"))  # the old pair stays in use
        assert first_answer(still_served, "n") == CDS
        process.line("certificate files cannot be used, the previous ones stay in use")
        assert process.end(signal.SIGTERM) == 0
