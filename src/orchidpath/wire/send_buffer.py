"""Outgoing frames of a connection: joined into one write, and bounded."""

import asyncio

from orchidpath.wire.errors import SlowPeerError

MAX_OUTGOING_BYTES = 64 * 1024 * 1024
"""Unsent bytes at which a peer that does not read loses its connection."""


class SendBuffer:
    """Collects the frames of one turn of the event loop for one write to the transport.

    Parameters
    ----------
    transport
        Where frames are written.
    loop
        The running event loop.
    max_bytes
        Bound on the unsent bytes, those that the transport buffers included.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop, max_bytes: int
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._max_bytes = max_bytes
        self._frames: list[bytes] = []
        self._frame_bytes = 0

    def append(self, frame: bytes) -> None:
        """Queue a frame; it is written in the next turn of the event loop.

        Raises
        ------
        SlowPeerError
            More than ``max_bytes`` would be unsent; the frame is not queued.
        """
        unsent_bytes = self._frame_bytes + self._transport.get_write_buffer_size()
        if unsent_bytes + len(frame) > self._max_bytes:
            raise SlowPeerError(f"{unsent_bytes} bytes are waiting for a slow peer")
        if not self._frames:
            self._loop.call_soon(self.flush)
        self._frames.append(frame)
        self._frame_bytes += len(frame)

    def flush(self) -> None:
        """Write what is queued, unless the transport is closing."""
        if not self._frames:
            return
        joined = b"".join(self._frames)
        self.clear()
        if not self._transport.is_closing():
            self._transport.write(joined)

    def clear(self) -> None:
        """Drop what is queued."""
        self._frames.clear()
        self._frame_bytes = 0
