"""Bounded buffer of a connection's outgoing frames, which joins them into one write."""

import asyncio

from orchidpath.wire.errors import SlowPeerError

MAX_OUTGOING_BYTES = 64 * 1024 * 1024
"""Bound on the unsent bytes of a connection; exceeding it closes the connection."""


class SendBuffer:
    """Collects the frames of one turn of the event loop for one write to the transport.

    Parameters
    ----------
    transport
        Transport to which the frames are written.
    loop
        The running event loop.
    max_bytes
        Bound on the unsent bytes, including those in the transport's own buffer.
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
            The unsent bytes would exceed ``max_bytes``; the frame is not queued.
        """
        unsent_bytes = self._frame_bytes + self._transport.get_write_buffer_size()
        if unsent_bytes + len(frame) > self._max_bytes:
            raise SlowPeerError(
                f"peer reads too slowly: {unsent_bytes} unsent bytes and a frame of {len(frame)} "
                f"bytes exceed the bound of {self._max_bytes} bytes"
            )
        if not self._frames:
            self._loop.call_soon(self.flush)
        self._frames.append(frame)
        self._frame_bytes += len(frame)

    def flush(self) -> None:
        """Write the queued frames, or drop them if the transport is closing."""
        if not self._frames:
            return
        joined = b"".join(self._frames)
        self.clear()
        if not self._transport.is_closing():
            self._transport.write(joined)

    def clear(self) -> None:
        """Drop the queued frames."""
        self._frames.clear()
        self._frame_bytes = 0
