"""A plain worker as PROTOCOL.md describes it: registers, serves POST requests, answers 421.

Arguments: id, service, zone, IP:port to listen on, record file, and the addresses of control.
"""

import asyncio
import json
import sys
import time
from contextlib import suppress
from pathlib import Path

HEARTBEAT_SECONDS = 1.2
WORK_SECONDS = 0.0225


class Worker:
    """One worker with six slots."""

    def __init__(self, worker_id, service, zone, address, record, controls):
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.address = address
        self.record = Path(record).open("a", encoding="utf-8", buffering=1)  # noqa: SIM115
        self.controls = controls
        self.slots = asyncio.Semaphore(6)
        self.sequence = 0

    async def run(self):
        host, port = self.address.split(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        async with server:
            await self.beat_forever()

    async def beat_forever(self):
        position = 0
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "seq": self.sequence,
                }
            ).encode()
            for _ in self.controls:
                address = self.controls[position % len(self.controls)]
                with suppress(OSError, TimeoutError, ValueError, IndexError):
                    if await asyncio.wait_for(self.beat(address, body), 1.0) == 200:
                        break
                position += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self, address, body):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (
                f"PUT /instances/{self.worker_id} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            line = await reader.readline()
            return int(line.split()[1])
        finally:
            writer.close()

    async def serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            while await self.serve_one(reader, writer):
                pass
        writer.close()

    async def serve_one(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split()
        headers = {}
        while (line := await reader.readline()) not in {b"\r\n", b""}:
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.worker_id) != self.worker_id:
            self.answer(writer, "421 Misdirected", request_id, b"", "X-Not-Executed: 1\r\n")
            return True
        async with self.slots:
            return await self.respond(writer, request_id, f"{method} {path} {len(body)}", headers)

    async def respond(self, writer, request_id, path, headers):
        """Run a request and answer it; return whether the connection stays open."""
        self.record.write(f"{time.time():.3f} {self.worker_id} runs {request_id} {path}\n")
        await asyncio.sleep(WORK_SECONDS)
        signature = f"X-Server-Signature: {self.worker_id}.{request_id}\r\n"
        self.answer(writer, "200 OK", request_id, b"done", signature)
        await writer.drain()
        return True

    def answer(self, writer, status, request_id, body, extra):
        head = (
            f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)


if __name__ == "__main__":
    name, service, zone, address, record, *controls = sys.argv[1:]
    asyncio.run(Worker(name, service, zone, address, record, controls).run())
