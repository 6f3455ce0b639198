"""A link between two sockets that can fail: `python -m scalefall.lab.link TO`, then a word a line on standard input.

silence         nothing passes, and both ends think that it stands
heal            what was held goes on
reset           every connection through it is reset
delay MS        each piece is held for that long
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys

READ_BYTES = 65536


class Link:
    def __init__(self, to: str) -> None:
        host, _, port = to.rpartition(":")
        self._to = (host, int(port))
        self._open = asyncio.Event()
        self._open.set()
        self._delay = 0.0
        self._ends: set[asyncio.StreamWriter] = set()

    async def serve(self) -> int:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def execute(self, words: list[str]) -> None:
        if words[:1] == ["silence"]:
            self._open.clear()
        elif words[:1] == ["heal"]:
            self._open.set()
        elif words[:1] == ["delay"]:
            self._delay = float(words[1]) / 1000
        elif words[:1] == ["reset"]:
            for writer in list(self._ends):
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._open.wait()
            other, back = await asyncio.open_connection(*self._to)
        except OSError:
            writer.transport.abort()
            return
        self._ends |= {writer, back}
        try:
            await asyncio.gather(self._copy(reader, back), self._copy(other, writer))
        finally:
            self._ends -= {writer, back}

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self._delay:
                    await asyncio.sleep(self._delay)
                await self._open.wait()
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
