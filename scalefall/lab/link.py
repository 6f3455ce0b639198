"""A TCP relay that fails on command: `python -m scalefall.lab.link TO`, then one command a line on standard input.

silence         nothing passes, and neither end notices
heal            buffered data passes on
reset           every connection through the link is reset
delay MS        each piece of data is delayed by so many milliseconds
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys

READ_BYTES = 65536


class Link:
    """A relay to one address."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._passing = asyncio.Event()
        self._passing.set()
        self._delay_s = 0.0
        self._writers: set[asyncio.StreamWriter] = set()

    async def serve(self) -> int:
        """Listen on a free port of 127.0.0.1, and return it."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def execute(self, words: list[str]) -> None:
        """Execute a command; unknown ones are ignored."""
        if words[:1] == ["silence"]:
            self._passing.clear()
        elif words[:1] == ["heal"]:
            self._passing.set()
        elif words[:1] == ["delay"]:
            self._delay_s = float(words[1]) / 1000
        elif words[:1] == ["reset"]:
            for writer in list(self._writers):
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._passing.wait()
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(self._copy(reader, target_writer), self._copy(target_reader, writer))
        finally:
            self._writers -= {writer, target_writer}

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await self._passing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


async def main() -> None:
    link = Link(sys.argv[1])
    print(await link.serve(), flush=True)
    while words := await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline):
        link.execute(words.split())


if __name__ == "__main__":
    asyncio.run(main())
