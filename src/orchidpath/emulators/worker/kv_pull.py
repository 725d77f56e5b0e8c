"""The decode side of a KV transfer: pulls the KV cache from the prefill worker."""

import asyncio

import aiohttp
import msgspec

from orchidpath.emulators.backend.http_exchange import base_url
from orchidpath.emulators.backend.injected_faults import FaultBoard, FaultKind
from orchidpath.wire.backend import CacheHandle, DecodeRequest, ErrorCode, ErrorEnvelope

DENIALS = frozenset({ErrorCode.HANDLE_EXPIRED, ErrorCode.HANDLE_MISMATCH})
"""Error codes with which a prefill worker denies a handle."""


class KvTransfer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/kv/{handle_id}``: metadata in place of the KV cache itself."""

    request_id: str
    attempt_id: str
    handle_id: str
    prompt_tokens: int
    kv_bytes: int


class KvTransferFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Why a KV transfer failed: the prefill worker denied the handle or was unreachable."""

    code: ErrorCode
    message: str


class CachePuller:
    """Pulls KV caches for one decode worker.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Must not reuse connections: aiohttp may resend a GET when a reused connection breaks, and a
        handle is valid for one request only.
    faults : FaultBoard
        Faults that may partition or slow the link to a prefill worker.
    worker_id : str
        Id of the decode worker.
    timeout_seconds : float
        Timeout of one KV transfer.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        faults: FaultBoard,
        worker_id: str,
        timeout_seconds: float,
    ) -> None:
        self._session = session
        self._faults = faults
        self._worker_id = worker_id
        self._timeout_seconds = timeout_seconds

    async def pull(self, request: DecodeRequest) -> KvTransferFailure | None:
        """Pull the KV cache of a decode request.

        Parameters
        ----------
        request : DecodeRequest
            The decode request. Its handle must be bound to its own request and attempt.

        Returns
        -------
        KvTransferFailure or None
            None when the KV cache was transferred completely.
        """
        handle = request.handle
        if (handle.request_id, handle.attempt_id) != (request.request_id, request.attempt_id):
            return _mismatch("the handle belongs to another attempt")
        clock = asyncio.get_running_loop().time
        if self._faults.take(FaultKind.LINK_PARTITION, clock(), handle.worker_id) is not None:
            return _unreachable(handle, "link cut")
        started_at = clock()
        try:
            async with asyncio.timeout(self._timeout_seconds):
                failure = await self._fetch(handle)
                factor = self._faults.factor(FaultKind.SLOW_LINK, clock(), handle.worker_id)
                await asyncio.sleep((factor - 1.0) * (clock() - started_at))
                return failure
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as problem:
            return _unreachable(handle, type(problem).__name__)

    async def _fetch(self, handle: CacheHandle) -> KvTransferFailure | None:
        url = f"{base_url(handle.url)}/v1/kv/{handle.handle_id}"
        query = {
            "request_id": handle.request_id,
            "attempt_id": handle.attempt_id,
            "incarnation": handle.incarnation,
            "decode_worker": self._worker_id,
        }
        async with self._session.get(url, params=query) as response:
            content = await response.read()
        if response.status != 200:
            return _denied(handle, content)
        transfer = msgspec.json.decode(content, type=KvTransfer)
        if (transfer.request_id, transfer.attempt_id) != (handle.request_id, handle.attempt_id):
            return _mismatch("another attempt's KV cache came")
        return None


def _mismatch(message: str) -> KvTransferFailure:
    return KvTransferFailure(code=ErrorCode.HANDLE_MISMATCH, message=message)


def _unreachable(handle: CacheHandle, cause: str) -> KvTransferFailure:
    message = f"prefill worker {handle.worker_id} unreachable: {cause}"
    return KvTransferFailure(code=ErrorCode.UPSTREAM_FAILED, message=message)


def _denied(handle: CacheHandle, content: bytes) -> KvTransferFailure:
    error = msgspec.json.decode(content, type=ErrorEnvelope).error
    if error.code not in DENIALS:
        return _unreachable(handle, error.code)
    message = f"prefill worker {handle.worker_id} denied the handle: {error.message}"
    return KvTransferFailure(code=error.code, message=message)
