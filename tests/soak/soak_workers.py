"""Workers of a soak: they serve one request at a time on a connection and send heartbeats."""

import asyncio
from collections import Counter
from contextlib import suppress
from itertools import count
from random import Random
from typing import Any

from aiohttp import web

SIGNATURE = "X-Server-Signature"
REFUSED_SHARE = 0.08
"""Share of the requests that a worker refuses, with the guarantee that it did not run them."""
LONGEST_PREFILL_SECONDS = 0.9
LONGEST_ANSWER_SECONDS = 0.4
EVENTS = 3


class SoakWorker:
    """A worker; ``stage`` is empty for a plain one.

    ``runs`` counts the executions of each request by all workers that share it. With
    ``changes_record`` every heartbeat differs from the one before, so that the replicated state
    changes all the time.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        stage: str,
        runs: Counter[str],
        random: Random,
        *,
        changes_record: bool = True,
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.stage = stage
        self.state = "ready"
        self._address = ""
        self._changes_record = changes_record
        self._runs = runs
        self._random = random
        self._sequence = 0
        self._handles = count(1)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/report", self._not_found)
        app.router.add_post("/order", self._order)
        app.router.add_delete("/kv-handle/{handle}", self._free)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        body: dict[str, Any] = {
            "service": self.service,
            "address": self._address,
            "zone": f"z{self._sequence % 3}" if self._changes_record else "z0",
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._sequence,
        }
        if self.stage:
            body["stage"] = self.stage
            body["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return body

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.worker_id})

    async def _not_found(self, _request: web.Request) -> web.Response:
        return web.Response(status=404)

    async def _free(self, _request: web.Request) -> web.Response:
        return web.Response()

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        return web.Response(status=200 if order.get("stage") == self.stage else 409)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        echo = {"X-Request-Id": request.headers["X-Request-Id"]}
        if request.headers.get("X-Target-Instance", self.worker_id) != self.worker_id:
            return web.Response(status=421, headers={**echo, "X-Not-Executed": "1"})
        if self._random.random() < REFUSED_SHARE:
            load = "0,0,64" if self.stage else "6,3,6"
            refused = {**echo, "X-Not-Executed": "1", "X-Server-Load": load}
            return web.Response(status=503, headers=refused)
        if request.headers.get("X-Stage") == "prefill":
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_PREFILL_SECONDS))
            handle = f"{self.worker_id}-{next(self._handles)}"
            body = {"kv_handle": handle, "tokens": 10, "version": 1}
            return web.json_response(body, headers=echo)
        return await self._execute(request, echo)

    async def _execute(self, request: web.Request, echo: dict[str, str]) -> web.StreamResponse:
        """Run a request; a stream whose connection closes is given up."""
        request_id = echo["X-Request-Id"]
        self._runs[request_id] += 1
        signed = {**echo, SIGNATURE: f"sig.{self.worker_id}", "X-Weight-Versions": "1"}
        pause = self._random.uniform(0.0, LONGEST_ANSWER_SECONDS) / EVENTS
        if not self.stage:
            await asyncio.sleep(pause)
            return web.Response(body=answer_of(request_id, is_model=False), headers=signed)
        response = web.StreamResponse(headers={**signed, "Content-Type": "text/event-stream"})
        with suppress(ConnectionError):
            await response.prepare(request)
            for event in _events(request_id):
                await asyncio.sleep(pause)
                await response.write(event)
            await response.write_eof()
        return response


def answer_of(request_id: str, *, is_model: bool) -> bytes:
    """Return the body with which any worker answers a request."""
    return b"".join(_events(request_id)) if is_model else f"answer to {request_id}".encode()


def _events(request_id: str) -> list[bytes]:
    return [f"id: {number}\ndata: {request_id}\n\n".encode() for number in range(EVENTS)]
