"""Certificates on sockets: which clients may connect as which node, and replacement without a restart."""

import pathlib
import signal

import grpc
from transporthelp import Authority, ResourceStream, final_status, running_control

from scalefall.control.catalog import CDS


def secure_channel(process, authority, pair):
    parts = [pathlib.Path(path).read_bytes() for path in (authority.path, *reversed(pair or ()))]
    return grpc.secure_channel(process.address, grpc.ssl_channel_credentials(*parts))


def first_response(channel, node):
    with channel:
        stream = ResourceStream(channel, node=node)
        stream.request(CDS)
        try:
            return stream.receive().type_url
        except grpc.RpcError as error:
            return error.code().name


def test_client_certificates_are_required_bound_to_nodes_and_replaced_without_a_restart(folder):
    ours, theirs = Authority(folder), Authority(folder, "other")
    certificate, key = ours.issue("control", "control")
    flags = ("--certificate", certificate, "--key", key, "--clients", ours.path)
    with running_control(folder, *flags) as process:
        valid, expired, foreign = ours.issue("n", "n"), ours.issue("old", "n", days=-1), theirs.issue("f", "n")
        assert first_response(secure_channel(process, ours, valid), "n") == CDS
        assert first_response(secure_channel(process, ours, valid), "m") == "PERMISSION_DENIED"
        assert first_response(secure_channel(process, ours, ours.issue("nameless")), "n") == "UNAUTHENTICATED"
        for pair in (None, expired, foreign):
            assert first_response(secure_channel(process, ours, pair), "n") == "UNAVAILABLE"
        assert first_response(grpc.insecure_channel(process.address), "n") == "UNAVAILABLE"
        channel = secure_channel(process, ours, valid)
        open_stream = ResourceStream(channel, node="n")
        open_stream.request(CDS)
        assert open_stream.receive().resources
        theirs.issue("control", "control")  # the authority and the pair are replaced, the key last
        ours.write("ca.pem", pathlib.Path(theirs.path).read_bytes())
        assert first_response(secure_channel(process, theirs, theirs.issue("n2", "n")), "n") == CDS
        process.line("certificates replaced")
        assert final_status(open_stream.call) == (
            grpc.StatusCode.UNAUTHENTICATED,
            "the certificate's authority is not trusted any more",
        )
        theirs.write("control.key", b"no key")
        still_served = secure_channel(process, theirs, theirs.issue("n3", "n"))  # the old pair stays in use
        assert first_response(still_served, "n") == CDS
        process.line("certificate files cannot be used, the previous ones stay in use")
        assert process.end(signal.SIGTERM) == 0
