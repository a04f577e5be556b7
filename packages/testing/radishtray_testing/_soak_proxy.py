"""Loopback proxy that disturbs the connections from a node to its upstream."""

import asyncio
import contextlib
import socket
import struct
import threading

from radishtray_testing.processes import LOOPBACK

_DELAY_S = 0.3
_POLL_INTERVAL_S = 0.02
# Linger for 0 s: closing the connection sends a reset.
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
LINK_MODES = {
    "delay": "",
    "reset": "",
    "silence": "requests answers",
    "cut_requests": "requests",
    "cut_answers": "answers",
}
"""What each mode of a link holds back until the mode ends."""


class LinkProxy:
    """Passes connections on to a port, in an event loop on its own thread.

    Attributes:
        mode: A key of `LINK_MODES`, or empty; set by any thread.
    """

    def __init__(self, listen_port: int, target_port: int) -> None:
        """Starts the event loop; `open` starts to listen."""
        self.mode = ""
        self._listen_port = listen_port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._passing: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self) -> None:
        """Starts to listen."""
        listening = asyncio.start_server(
            self._serve, LOOPBACK, self._listen_port
        )
        self._server = asyncio.run_coroutine_threadsafe(
            listening, self._loop
        ).result()

    def refuse(self) -> None:
        """Stops listening and resets all connections, as a dead target does."""
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result()

    def close(self) -> None:
        """Ends the event loop."""
        self.refuse()
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def _end(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._passing:
            task.cancel()
        # Lets the connections of these tasks end.
        await asyncio.sleep(_POLL_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = [writer]
        passing: set[asyncio.Task[None]] = set()
        # Without a target, the connection is reset.
        with contextlib.suppress(OSError):
            target = await asyncio.open_connection(LOOPBACK, self._target_port)
            ends.append(target[1])
            requests = self._pass("requests", reader, target[1])
            answers = self._pass("answers", target[0], writer)
            passing = {*map(asyncio.create_task, (requests, answers))}
            self._passing |= passing
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        is_reset = not passing or self.mode == "reset"
        for task in passing:
            is_reset |= task.cancelled()
            task.cancel()
        self._passing -= passing
        for end in ends:
            if is_reset and not end.is_closing():
                end.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
                )
                end.transport.abort()
            end.close()

    async def _pass(
        self,
        content: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copies until the reader ends or the connection is to be reset."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if self.mode == "delay":
                    await asyncio.sleep(_DELAY_S)
                while content in LINK_MODES.get(self.mode, ""):
                    await asyncio.sleep(_POLL_INTERVAL_S)
                if self.mode == "reset":
                    return
                writer.write(data)
                await writer.drain()
