"""The asyncio shell of an emulated plain service: one JSON call, one answer."""

import asyncio
import random

import msgspec
from aiohttp import web

from orchidpath.emulators.backend.answers import expected_call_body
from orchidpath.emulators.backend.attempts import Phase
from orchidpath.emulators.backend.backend_core import AttemptDispatch
from orchidpath.emulators.backend.backend_shell import BackendSettings, BackendShell
from orchidpath.emulators.backend.http_exchange import json_response, read_struct
from orchidpath.emulators.backend.injected_faults import FaultKind
from orchidpath.wire.backend import CallReply, CallRequest
from orchidpath.wire.records import Stage, WorkerRecord


class ServiceTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of an emulated plain service: log-normal with a bound."""

    median_seconds: float = 0.02
    sigma: float = 0.5
    maximum_seconds: float = 1.0
    max_in_flight: int = 64


def draw_latency(timing: ServiceTiming, generator: random.Random) -> float:
    """Return the latency of one call.

    Parameters
    ----------
    timing : ServiceTiming
        The distribution.
    generator : random.Random
        Source of randomness.

    Returns
    -------
    float
        Seconds.
    """
    latency = timing.median_seconds * generator.lognormvariate(0.0, timing.sigma)
    return min(latency, timing.maximum_seconds)


class PlainService(BackendShell):
    """One worker of an emulated plain service.

    Parameters
    ----------
    record : WorkerRecord
        How the worker announces itself.
    settings : BackendSettings
        Where to listen and whom to tell.
    timing : ServiceTiming
        Latency and capacity.
    generator : random.Random
        Source of randomness for the latency.
    """

    def __init__(
        self,
        record: WorkerRecord,
        settings: BackendSettings,
        timing: ServiceTiming,
        generator: random.Random,
    ) -> None:
        super().__init__(record, settings, timing.max_in_flight)
        self._timing = timing
        self._generator = generator

    def add_routes(self, app: web.Application) -> None:
        """Add the call."""
        super().add_routes(app)
        app.router.add_post("/v1/call", self._call)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        call = await read_struct(request, CallRequest)
        order = AttemptDispatch(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            phase=Phase.EXECUTION,
            stage=Stage.PLAIN,
        )
        return await self.admitted(order, lambda: self._answer(request, call, order))

    async def _answer(
        self, request: web.Request, call: CallRequest, order: AttemptDispatch
    ) -> web.StreamResponse:
        refusal = self.begin(order)
        if refusal is not None:
            return refusal
        factor = self.faults.factor(FaultKind.SLOW, self.now())
        await asyncio.sleep(draw_latency(self._timing, self._generator) * factor)
        spoilt = await self.spoil_answer(request, order)
        if spoilt is not None:
            return spoilt
        sender = self.answer_identity(order)
        body = expected_call_body(sender.request_id, call.method, call.path)
        reply = CallReply(
            request_id=sender.request_id, attempt_id=sender.attempt_id, body=msgspec.Raw(body)
        )
        return json_response(reply, attempt_id=sender.attempt_id)
