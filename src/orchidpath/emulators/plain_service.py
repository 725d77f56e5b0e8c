"""The asyncio server of an emulated plain service: each JSON call has one JSON answer."""

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
    """Latency and capacity of an emulated plain service.

    The latency is log-normal and capped at ``maximum_seconds``.
    """

    median_seconds: float = 0.02
    sigma: float = 0.5
    maximum_seconds: float = 1.0
    max_in_flight: int = 64


def sample_latency(timing: ServiceTiming, generator: random.Random) -> float:
    """Return a random latency for one call.

    Parameters
    ----------
    timing : ServiceTiming
        Parameters of the distribution.
    generator : random.Random
        Random generator.

    Returns
    -------
    float
        Latency in seconds.
    """
    latency = timing.median_seconds * generator.lognormvariate(0.0, timing.sigma)
    return min(latency, timing.maximum_seconds)


class PlainService(BackendShell):
    """One worker of an emulated plain service.

    Parameters
    ----------
    record : WorkerRecord
        Record that the worker announces.
    settings : BackendSettings
        Listening address, announcement addresses and drain time.
    timing : ServiceTiming
        Latency and capacity.
    generator : random.Random
        Random generator of the latencies.
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
        """Add the endpoint for calls."""
        super().add_routes(app)
        app.router.add_post("/v1/call", self._call)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        call = await read_struct(request, CallRequest)
        dispatch = AttemptDispatch(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            phase=Phase.EXECUTION,
            stage=Stage.PLAIN,
        )
        return await self.admitted(dispatch, lambda: self._answer(request, call, dispatch))

    async def _answer(
        self, request: web.Request, call: CallRequest, dispatch: AttemptDispatch
    ) -> web.StreamResponse:
        refusal = self.begin(dispatch)
        if refusal is not None:
            return refusal
        factor = self.faults.factor(FaultKind.SLOW, self.now())
        await asyncio.sleep(sample_latency(self._timing, self._generator) * factor)
        faulty_response = await self.apply_response_faults(request, dispatch)
        if faulty_response is not None:
            return faulty_response
        sender = self.answer_identity(dispatch)
        body = expected_call_body(sender.request_id, call.method, call.path)
        reply = CallReply(
            request_id=sender.request_id, attempt_id=sender.attempt_id, body=msgspec.Raw(body)
        )
        return json_response(reply, attempt_id=sender.attempt_id)
