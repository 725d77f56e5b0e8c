"""Crowds of clients that the system does not control: what each of their members sends."""

import asyncio
import json
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import count

PIECE_BYTES = 65_536
SETTLED_SECONDS = 1.0
"""A crowd of which no member has sent or received for this long has done its worst."""

CROWD_SECONDS = 30.0
"""Longest time that a crowd sends before the system is checked; its connections stay open."""

CONNECT_BATCH = 100
"""Connections opened at once, below the listeners' queue of new connections."""

Sending = Callable[[], Iterator[bytes]]
"""Returns what one member sends, piece by piece."""


_request_numbers = count(1)


def head(method: str, path: str, *headers: str) -> bytes:
    """Return the head of a request; each has an id of its own, as those of all clients do."""
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example"]
    lines.append(f"X-Request-Id: crowd-{next(_request_numbers)}")
    lines += ["X-Deadline-Ms: 60000", "If-Match: 1", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


def whole_body(method: str, path: str, size: int, missing: int) -> Sending:
    """A body with its length, sent at once but for its last bytes."""
    body = bytes(size - missing)
    return lambda: iter([head(method, path, f"Content-Length: {size}"), body])


def body_by_pieces(method: str, path: str, size: int, missing: int) -> Sending:
    """A body with its length, sent piece by piece but for its last bytes."""

    def send() -> Iterator[bytes]:
        yield head(method, path, f"Content-Length: {size}")
        for start in range(0, size - missing, PIECE_BYTES):
            yield bytes(min(PIECE_BYTES, size - missing - start))

    return send


def body_in_chunks(method: str, path: str, size: int, chunk_bytes: int) -> Sending:
    """A body in chunks that stops within its last chunk."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    chunks_a_piece = max(1, PIECE_BYTES // chunk_bytes)
    piece = chunk * chunks_a_piece

    def send() -> Iterator[bytes]:
        yield head(method, path, "Transfer-Encoding: chunked")
        for _ in range(0, size - len(piece), chunks_a_piece * chunk_bytes):
            yield piece
        yield chunk[:-3]

    return send


def many_headers(method: str, path: str, count: int) -> Sending:
    """A head of many tiny headers, within the limit on its size, and no body after it."""

    def send() -> Iterator[bytes]:
        begin = head(method, path, "Content-Length: 100")
        yield begin.removesuffix(b"\r\n") + b"a:b\r\n" * count + b"\r\n"

    return send


def announced_too_large(method: str, path: str, size: int) -> Sending:
    """A body whose length is far over the limit, sent all the same."""

    def send() -> Iterator[bytes]:
        yield head(method, path, f"Content-Length: {1 << 40}")
        for _ in range(0, size, PIECE_BYTES):
            yield bytes(PIECE_BYTES)

    return send


def bytes_after_request(method: str, path: str, size: int) -> Sending:
    """A complete request, followed by bytes that no one waits for while it is served."""

    def send() -> Iterator[bytes]:
        yield head(method, path, "Content-Length: 0")
        for _ in range(0, size, PIECE_BYTES):
            yield bytes(PIECE_BYTES)

    return send


def most_incomplete(incomplete: Sending, complete: Sending) -> Sending:
    """Three of four members stop just short of their end, and the fourth one does not."""
    members = count()
    return lambda: complete() if next(members) % 4 == 3 else incomplete()


def request_without_body(method: str, path: str) -> Sending:
    """A complete request that has no body."""
    return lambda: iter([head(method, path)])


def complete_body(method: str, path: str, body: bytes) -> Sending:
    """A complete request with a body of its own, sent at once."""
    return lambda: iter([head(method, path, f"Content-Length: {len(body)}"), body])


def registrations(requests: int, models: int, model_name: str) -> Sending:
    """Complete heartbeats of workers, each under an id of its own."""
    worker_numbers = count(1)
    body = json.dumps(
        {
            "service": "crowd-api",
            "address": "127.0.0.1:9",
            "zone": "z",
            "state": "ready",
            "models": [{"name": f"{model_name}{number}"} for number in range(models)],
            "seq": 1,
        }
    ).encode()

    def send() -> Iterator[bytes]:
        for _ in range(requests):
            path = f"/instances/i-crowd-{next(worker_numbers)}"
            yield head("PUT", path, f"Content-Length: {len(body)}") + body

    return send


def raw(content: bytes) -> Sending:
    """Bytes of any kind, sent at once."""
    return lambda: iter([content])


class Crowd:
    """Clients that each send the same on a connection of their own, and then leave it open.

    Parameters
    ----------
    host, port
        Address that the members connect to.
    members
        Number of clients.
    sending
        What each of them sends.
    reads
        Whether the members read what they are sent.
    """

    def __init__(
        self, host: str, port: int, members: int, sending: Sending, *, reads: bool = True
    ) -> None:
        self._address = (host, port)
        self._members = members
        self._sending = sending
        self._reads = reads
        self._tasks: list[asyncio.Task[None]] = []
        self._progress = 0

    async def send(self) -> None:
        """Let the members send until all have finished, are refused, or are held up."""
        for first in range(0, self._members, CONNECT_BATCH):
            count = min(CONNECT_BATCH, self._members - first)
            self._tasks += [asyncio.create_task(self._run_member()) for _ in range(count)]
            await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CROWD_SECONDS
        progress = -1
        while progress != self._progress and loop.time() < ends_at:
            progress = self._progress
            await asyncio.sleep(SETTLED_SECONDS)

    async def leave(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_member(self) -> None:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*self._address)
            try:
                if not self._reads:
                    assert isinstance(writer.transport, asyncio.Transport)
                    writer.transport.pause_reading()
                for piece in self._sending():
                    writer.write(piece)
                    await writer.drain()
                    self._progress += 1
                if not self._reads:
                    await asyncio.Event().wait()
                while await reader.read(PIECE_BYTES):
                    self._progress += 1
            finally:
                writer.transport.abort()
