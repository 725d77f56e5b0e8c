"""Maps the metadata of requests and responses on forward routes to and from HTTP headers.

The router accesses these headers only through :class:`ProtocolMapping`. The adapter of another
platform supplies other header names, and overrides a method where a format differs.
"""

from collections.abc import Sequence

import msgspec
import xxhash

from orchidpath.common.digits import number_of_digits
from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.messages import PromptShape

Header = tuple[bytes, bytes]
"""Name of a header, in lower case, and its value."""

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Headers that apply to a single connection (hop-by-hop); the router never forwards them."""


MAX_HANDLE_CHARACTERS = 1_000
"""Largest length of the handle of a KV cache."""


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that the router reads or sets, in lower case."""

    request_id: bytes = b"x-request-id"
    deadline_milliseconds: bytes = b"x-orchidpath-deadline-ms"
    model: bytes = b"x-orchidpath-model"
    token_usage: bytes = b"x-orchidpath-tokens"
    prompt_segments: bytes = b"x-orchidpath-prompt-parts"
    priority: bytes = b"x-orchidpath-priority"
    stage: bytes = b"x-orchidpath-stage"
    cache_source: bytes = b"x-orchidpath-cache-source"
    worker_id: bytes = b"x-orchidpath-worker"
    expected_version: bytes = b"x-orchidpath-expected-version"
    signature: bytes = b"x-orchidpath-signature"
    not_run: bytes = b"x-orchidpath-not-run"
    load: bytes = b"x-orchidpath-load"
    weights_version: bytes = b"x-orchidpath-weights-version"
    last_event_id: bytes = b"last-event-id"


class RequestMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a request, read from its headers.

    ``prefix_key`` is equal for requests whose prompts have the same segments except the last one;
    ``shared_tokens`` is the total size of these shared segments, in tokens.
    """

    request_id: str
    deadline_seconds: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    prefix_key: int = 0
    shared_tokens: int = 0

    @property
    def prompt(self) -> PromptShape:
        """Prefix key and sizes of the prompt, as routing decisions use them."""
        own_tokens = max(self.prompt_tokens - self.shared_tokens, 0)
        return PromptShape(
            prefix_key=self.prefix_key, shared_tokens=self.shared_tokens, own_tokens=own_tokens
        )


class DispatchMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata that the router adds to a request that it dispatches to a worker.

    ``is_prefill`` requests only the prefill. ``cache_source`` identifies the KV cache of an earlier
    prefill, in the format of :meth:`ProtocolMapping.cache_source`. ``last_event_id`` is the event
    after which the worker resumes a stream; if it is empty, the caller's own header is forwarded.
    """

    worker_id: str
    deadline_seconds: float
    priority: int | None = None
    is_prefill: bool = False
    cache_source: str = ""
    expected_version: int | None = None
    last_event_id: str = ""


class WorkerLoad(msgspec.Struct, frozen=True):
    """Running and waiting requests of a worker, and how many it can run at once (its slots)."""

    running: int
    waiting: int
    slots: int

    @property
    def is_full(self) -> bool:
        """Whether a further request would have to wait."""
        return self.waiting > 0 or self.running >= self.slots


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a worker's response, read from its status and headers."""

    request_id: str
    is_signed: bool
    is_encoded: bool
    guarantees_not_executed: bool
    load: WorkerLoad | None = None
    weights_version: int | None = None


class PrefillResult(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response to a prefill: handle of the KV cache and version of the weights."""

    handle: str
    version: int | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the handle can be sent in a header and in a path."""
        is_text = self.handle.isascii() and self.handle.isprintable()
        return is_text and " " not in self.handle and 0 < len(self.handle) <= MAX_HANDLE_CHARACTERS


class MalformedRequestError(OrchidpathError):
    """A required header of a request is missing, or a header is malformed."""


class ProtocolMapping:
    """Reads the headers of requests and responses, and writes those of dispatches.

    Parameters
    ----------
    names
        Header names of the platform; the defaults of :class:`HeaderNames` if None.
    """

    ready_path = "/health/ready"
    """Path of the readiness probe: whether the router accepts connections."""

    def __init__(self, names: HeaderNames | None = None) -> None:
        self.names = names or HeaderNames()
        own = self.names
        self._set_by_router = frozenset(
            {own.stage, own.cache_source, own.worker_id, own.priority, own.expected_version}
        )

    def read_request(self, headers: Sequence[Header]) -> RequestMetadata:
        """Return the metadata in the headers of a caller's request.

        Raises
        ------
        MalformedRequestError
            The request id is missing, or a number is malformed or out of range.
        """
        names = self.names
        values = dict(headers)
        request_id = values.get(names.request_id, b"").decode("latin-1")
        if not request_id:
            raise MalformedRequestError("the request has no id")
        deadline = values.get(names.deadline_milliseconds)
        usage = values.get(names.token_usage, b"0").split(b",")[0]
        model = values.get(names.model, b"")
        segments = _shared_segments(values.get(names.prompt_segments, b""))
        return RequestMetadata(
            request_id=request_id,
            deadline_seconds=None if deadline is None else _number(deadline) / 1000.0,
            model=model.decode("latin-1"),
            prompt_tokens=int(_number(usage or b"0")),
            prefix_key=_prefix_key(model, segments),
            shared_tokens=sum(segment.tokens for segment in segments),
        )

    def dispatch_headers(
        self, headers: Sequence[Header], metadata: DispatchMetadata
    ) -> list[Header]:
        """Return the headers of a dispatch: those of the caller and those that the router sets.

        Parameters
        ----------
        headers
            Headers of the caller's request.
        metadata
            Metadata that the router adds.
        """
        names = self.names
        dropped = self._set_by_router | CONNECTION_HEADERS | {names.deadline_milliseconds}
        if metadata.last_event_id:
            dropped = dropped | {names.last_event_id}
        kept = [header for header in headers if header[0] not in dropped]
        milliseconds = max(1, int(metadata.deadline_seconds * 1000))
        kept.append((names.deadline_milliseconds, b"%d" % milliseconds))
        kept.append((names.worker_id, metadata.worker_id.encode("latin-1")))
        if metadata.priority is not None:
            kept.append((names.priority, b"%d" % metadata.priority))
        if metadata.is_prefill:
            kept.append((names.stage, b"prefill"))
        if metadata.cache_source:
            kept.append((names.cache_source, metadata.cache_source.encode("latin-1")))
        if metadata.last_event_id:
            kept.append((names.last_event_id, metadata.last_event_id.encode("latin-1")))
        if metadata.expected_version is not None:
            kept.append((names.expected_version, b"%d" % metadata.expected_version))
        return kept

    def read_response(self, status: int, headers: Sequence[Header]) -> ResponseMetadata:
        """Return the metadata in the head of a worker's response."""
        names = self.names
        values = dict(headers)
        return ResponseMetadata(
            request_id=values.get(names.request_id, b"").decode("latin-1"),
            is_signed=names.signature in values,
            is_encoded=values.get(b"content-encoding", b"identity") != b"identity",
            guarantees_not_executed=names.not_run in values or status == 421,
            load=_load(values.get(names.load)),
            weights_version=_version(values.get(names.weights_version)),
        )

    def response_headers(self, headers: Sequence[Header], keep_signature: bool) -> list[Header]:
        """Return those headers of a worker's response that are relayed to the caller."""
        dropped = CONNECTION_HEADERS
        if not keep_signature:
            dropped = dropped | {self.names.signature}
        return [header for header in headers if header[0] not in dropped]

    def read_prefill_result(self, body: bytes) -> PrefillResult | None:
        """Decode the body of a response to a prefill; return None if it is malformed."""
        try:
            return msgspec.json.decode(body, type=PrefillResult)
        except (msgspec.MsgspecError, RecursionError, ValueError):
            return None

    def cache_source(self, address: str, handle: str) -> str:
        """Return the identifier of the KV cache that the worker at an address holds as a handle."""
        return f"{address}/{handle}"

    def release_target(self, handle: str) -> bytes:
        """Return the target of the ``DELETE`` request that frees a KV cache at its worker."""
        return b"/kv-handles/" + handle.encode("latin-1")


def _number(value: bytes) -> float:
    try:
        number = float(value)
    except ValueError as error:
        raise MalformedRequestError(f"{value[:40]!r} is no number") from error
    if not 0 <= number < 1e12:
        raise MalformedRequestError(f"{value[:40]!r} is out of range")
    return number


class _PromptSegment(msgspec.Struct, frozen=True):
    name: bytes
    tokens: int


def _shared_segments(value: bytes) -> list[_PromptSegment]:
    """Return all segments of a prompt (``NAME:TOKENS,...``) except the last, which isn't shared."""
    segments = []
    for segment in value.split(b",")[:-1]:
        name, _, tokens = segment.strip().partition(b":")
        segments.append(_PromptSegment(name, int(_number(tokens or b"0"))))
    return segments


def _prefix_key(model: bytes, segments: Sequence[_PromptSegment]) -> int:
    names = b",".join(segment.name for segment in segments)
    return xxhash.xxh64_intdigest(model + b"\x00" + names)


def _version(value: bytes | None) -> int | None:
    return number_of_digits(value) if value is not None else None


def _load(value: bytes | None) -> WorkerLoad | None:
    if value is None:
        return None
    try:
        running, waiting, slots = (int(number) for number in value.split(b","))
    except ValueError:
        return None
    return WorkerLoad(running, waiting, slots)
