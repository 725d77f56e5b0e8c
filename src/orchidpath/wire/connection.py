"""A connection between two processes of the fleet: frames over TCP, a Hello first from both ends.

Callers tolerate the loss of messages, so sending never waits: either a message is written in the
next turn of the event loop, or the connection closes and the message is lost. Received messages are
passed to the owner of the connection synchronously and in order.
"""

import asyncio

from orchidpath.common.logs import get_logger
from orchidpath.wire.connection_callbacks import (
    ConnectionCallbacks,
    ConnectionHandler,
    MessageHandler,
)
from orchidpath.wire.errors import HelloError, SlowPeerError
from orchidpath.wire.framing import FrameDecoder, FrameError, encode_frame
from orchidpath.wire.handshake import MAX_HELLO_BYTES, Handshake
from orchidpath.wire.keepalive import set_keepalive
from orchidpath.wire.link_faults import Fate, LinkFaults
from orchidpath.wire.messages import Message
from orchidpath.wire.messages.membership_messages import Hello
from orchidpath.wire.send_buffer import MAX_OUTGOING_BYTES, SendBuffer

_log = get_logger("connection")


class Connection(asyncio.Protocol):
    """One connection, created by :func:`orchidpath.wire.connector.connect` or by a listener.

    Parameters
    ----------
    hello
        Hello of this end.
    on_connect, on_message, on_close
        Callbacks that receive this connection; ``on_close`` is called only after ``on_connect``.
    faults
        Injected faults, for tests.
    max_outgoing_bytes
        Bound on the unsent bytes; a message that would exceed it closes the connection.
    dialled_address
        Wire address that this end has connected to; empty for an accepted connection.

    Attributes
    ----------
    connected, closed
        Events: the exchange of Hello is complete; the connection has closed.
    error
        The first error of the connection; None if it was closed without an error.
    """

    def __init__(
        self,
        hello: Hello,
        on_connect: ConnectionHandler,
        on_message: MessageHandler,
        on_close: ConnectionHandler,
        *,
        faults: LinkFaults | None = None,
        max_outgoing_bytes: int = MAX_OUTGOING_BYTES,
        dialled_address: str = "",
    ) -> None:
        self.connected = asyncio.Event()
        self.closed = asyncio.Event()
        self.error: Exception | None = None
        self.dialled_address = dialled_address
        self._handshake = Handshake(hello)
        self._callbacks = ConnectionCallbacks(on_connect, on_message, on_close)
        self._faults = faults
        self._max_outgoing_bytes = max_outgoing_bytes
        self._decoder = FrameDecoder(MAX_HELLO_BYTES)
        self._transport: asyncio.Transport | None = None
        self._send_buffer: SendBuffer | None = None

    @property
    def remote(self) -> Hello:
        """Hello of the other end.

        Raises
        ------
        HelloError
            The other end has not sent its Hello yet.
        """
        if self._handshake.remote is None:
            raise HelloError("the other end has sent no Hello yet")
        return self._handshake.remote

    @property
    def is_open(self) -> bool:
        """Whether Hello was exchanged and the connection is not closed."""
        return self._handshake.remote is not None and self._transport is not None

    def send(self, message: Message) -> bool:
        """Queue a message without waiting.

        Returns
        -------
        bool
            False if the message is certainly lost, since the connection is closed or the message
            fits into no frame; True does not guarantee that the message is delivered.
        """
        if self._transport is None:
            return False
        try:
            frame = encode_frame(message)
        except FrameError as error:
            _log.error("message_not_sent", message=type(message).__name__, reason=str(error))
            return False
        if self._faults is None:
            return self._enqueue(frame)
        remote = self._handshake.remote
        if remote is None:
            return self._enqueue(frame)
        verdict = self._faults.on_send(self._handshake.local.node_id, remote.node_id)
        if verdict.fate is Fate.LOST:
            return True
        if verdict.fate is Fate.DELAYED:
            loop = asyncio.get_running_loop()
            loop.call_later(verdict.delay_seconds, self._enqueue, frame)
            return True
        return self._enqueue(frame)

    def close(self, error: Exception | None = None) -> None:
        """Close the connection after writing the queued frames to the kernel; idempotent."""
        if self._transport is None:
            return
        if self._send_buffer is not None:
            self._send_buffer.flush()
        self._set_error(error)
        if self._transport is not None:
            self._transport.close()

    def abort(self, error: Exception) -> None:
        """Close the connection at once and drop the queued frames."""
        self._set_error(error)
        if self._send_buffer is not None:
            self._send_buffer.clear()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the exchange of Hello (called by asyncio)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._send_buffer = SendBuffer(transport, loop, self._max_outgoing_bytes)
        set_keepalive(transport)
        self._enqueue(encode_frame(self._handshake.local))
        self._handshake.start_timeout(loop, self.abort)

    def data_received(self, data: bytes) -> None:
        """Pass every message that is now complete to the owner (called by asyncio)."""
        try:
            messages = self._decoder.feed(data)
        except FrameError as error:
            self.abort(error)
            return
        for message in messages:
            if self._transport is None or self._transport.is_closing():
                return
            self._receive(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the transport and notify the owner (called by asyncio)."""
        self._set_error(exc)
        self._transport = None
        if self._send_buffer is not None:
            self._send_buffer.clear()
        self._handshake.cancel_timeout()
        self.closed.set()
        if self._handshake.remote is not None:
            self._callbacks.on_close(self)

    def _receive(self, message: Message) -> None:
        remote = self._handshake.remote
        if remote is None:
            self._receive_hello(message)
            return
        if self._faults is not None:
            local = self._handshake.local
            if self._faults.is_partitioned(remote.node_id, local.node_id):
                return
        if not isinstance(message, Hello):
            self._callbacks.on_message(self, message)

    def _receive_hello(self, message: Message) -> None:
        try:
            remote = self._handshake.check(message)
        except HelloError as error:
            # Closed, not aborted, so that this end's Hello is still sent: the other end can then
            # find the cause, such as a fleet mismatch, itself.
            self.close(error)
            return
        local = self._handshake.local
        if self._faults is not None and self._faults.blocks_connection(
            local.node_id, remote.node_id
        ):
            return
        self._handshake.complete(remote)
        self.connected.set()
        self._callbacks.on_connect(self)

    def _set_error(self, error: Exception | None) -> None:
        if self.error is None:
            self.error = error

    def _enqueue(self, frame: bytes) -> bool:
        send_buffer = self._send_buffer
        if self._transport is None or send_buffer is None or self._transport.is_closing():
            return False
        try:
            send_buffer.append(frame)
        except SlowPeerError as error:
            self.abort(error)
            return False
        return True
