"""Answers that a worker sends a second time, when the next request has come on the connection."""

import asyncio
from pathlib import Path

from platform_environment import SIGNATURE, EmulatedWorker, running

MODEL = {
    "X-Model": "m",
    "X-Token-Usage": "73000,80",
    "X-Prefix-Hash": "5c1e07a2:13000,e4402b7d:60000",
}
EVENTS = b"id: 0\ndata: word\n\n"


class RepeatingWorker(EmulatedWorker):
    """A decode worker that can't fetch a KV cache, and sends each refusal twice.

    The copy precedes the answer to the next request on the connection.
    """

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.refused: list[str] = []

    async def stop(self) -> None:
        self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        surplus = b""
        while not reader.at_eof():
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
            await reader.readexactly(int(headers.get("content-length", "0")))
            writer.write(surplus)
            request_id = headers["x-request-id"]
            if "x-kv-source" in headers:
                self.refused.append(request_id)
                surplus = _answer("503 Unavailable", request_id, "X-Not-Executed: 1", b"")
                writer.write(surplus)
                continue
            surplus = b""
            self.runs.append(request_id)
            writer.write(_answer("200 OK", request_id, f"{SIGNATURE}: sig", EVENTS))
        writer.close()


def _answer(status: str, request_id: str, header: str, body: bytes) -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request_id}",
        header,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def test_a_second_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_repeat(
    tmp_path: Path,
) -> None:
    """Guards against a request that runs twice, or that runs and is answered as not executed."""
    prefill = EmulatedWorker("p", "wine-llm", "prefill")
    decode = RepeatingWorker("d", "wine-llm", "decode")
    async with running(tmp_path, prefill, decode) as environment:
        await environment.request_until_served("/advice/x")
        repeated = 0
        for number in range(8):
            request_id = f"copied-{number}"
            headers = {**MODEL, "X-Request-Id": request_id}
            response, body = await environment.request("/advice/x", headers=headers)
            assert decode.runs.count(request_id) == (1 if response.status == 200 else 0)
            assert body == EVENTS or response.status == 503
            repeated += response.status == 200 and request_id in decode.refused
        assert repeated > 0
