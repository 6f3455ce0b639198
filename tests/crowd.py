"""Many bad clients at once, as a process of its own: python tests/crowd.py HOST PORT KIND CLIENTS SECONDS WAVES.

All clients of a wave connect at once and write as fast as the sender reads. They stay for the given time, whether or
not the sender has ended their connections, and then leave.
"""

import resource
import select
import socket
import sys
import time

BODY_BYTES = 64 * 1024
POLL_MS = 50
DRIP_INTERVAL_S = 0.05


def head(message_id, *fields):
    lines = [
        b"POST /status-update HTTP/1.1",
        b"X-Request-Id: %s" % message_id,
        b"X-Deadline: 20000m",
        b"X-Route-To: dest=7",
    ]
    return b"\r\n".join([*lines, *fields, b""])


def _stops_before_the_end_of_its_body(message_id):
    return head(message_id, b"Content-Length: %d" % BODY_BYTES) + b"\r\n" + b"y" * (BODY_BYTES - 1)


def _stops_after_the_first_half_of_its_body(message_id):
    return head(message_id, b"Content-Length: %d" % BODY_BYTES) + b"\r\n" + b"y" * (BODY_BYTES // 2)


def _body_in_chunks_of_a_byte(message_id):
    return head(message_id, b"Transfer-Encoding: chunked") + b"\r\n" + b"1\r\na\r\n" * 20_000


def _trailer_of_short_fields(message_id):
    return head(message_id, b"Transfer-Encoding: chunked") + b"\r\n0\r\n" + b"a:b\r\n" * 20_000


def _head_of_short_fields(message_id):
    return head(message_id) + b"".join(b"f%d:\r\n" % number for number in range(90))


def _head_that_repeats_a_field(message_id):
    return head(message_id) + b"a:\n" * 5200


def _empty_lines(message_id):
    return b"\n" * 16_000


def _nothing(message_id):
    return b""


KINDS = {
    "stops-before-the-end": _stops_before_the_end_of_its_body,
    "stops-half-way": _stops_after_the_first_half_of_its_body,
    "chunks-of-a-byte": _body_in_chunks_of_a_byte,
    "short-trailer-fields": _trailer_of_short_fields,
    "short-fields": _head_of_short_fields,
    "repeated-field": _head_that_repeats_a_field,
    "empty-lines": _empty_lines,
    "nothing": _nothing,
}


class _Client:
    def __init__(self, address, data):
        self.unsent = memoryview(data)
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)

    def write(self):
        """Write what the sender reads; return whether anything is left to write."""
        try:
            while self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def play_wave(address, make_data, names, seconds):
    """Connect one client for each name, and have all of them stay for some seconds."""
    clients = [_Client(address, make_data(name)) for name in names]
    poll, by_descriptor = select.poll(), {}
    for client in clients:
        by_descriptor[client.sock.fileno()] = client
        poll.register(client.sock, select.POLLOUT)
    ends_at = time.monotonic() + seconds
    while (left := ends_at - time.monotonic()) > 0:
        for descriptor, _ in poll.poll(min(POLL_MS, left * 1000)):
            if not by_descriptor[descriptor].write():
                poll.unregister(descriptor)
    for client in clients:
        client.sock.close()


def raise_descriptor_limit():
    """Permit this process as many descriptors as the system does."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main():
    host, port, kind, clients, seconds, waves = sys.argv[1:]
    raise_descriptor_limit()
    for wave in range(int(waves)):
        names = [b"%d-%d-%d" % (time.time_ns(), wave, number) for number in range(int(clients))]
        play_wave((host, int(port)), KINDS[kind], names, float(seconds))


if __name__ == "__main__":
    main()
