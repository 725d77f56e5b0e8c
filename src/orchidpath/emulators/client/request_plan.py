"""What each request of a traffic mix looks like."""

import random
from itertools import accumulate

import msgspec
import xxhash

from orchidpath.emulators.client.traffic_mix import (
    TokenDistribution,
    TrafficKind,
    TrafficMix,
    TrafficStream,
)

HEX_DIGITS_PER_TOKEN = 3
"""With the space behind it a word of a prompt is four characters long, like a usual token."""


class PlannedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request as its caller will send and judge it.

    ``disconnect_after_chunks`` is set when the caller will go away after so many chunks.
    """

    request_id: str
    stream: str
    kind: TrafficKind
    caller_id: str
    tenant: str
    model: str = ""
    prompt: str = ""
    max_tokens: int = 0
    method: str = ""
    path: str = ""
    disconnect_after_chunks: int | None = None
    pause_per_chunk_seconds: float = 0.0


def draw_tokens(distribution: TokenDistribution, generator: random.Random) -> int:
    """Return a number of tokens."""
    tokens = distribution.median * generator.lognormvariate(0.0, distribution.sigma)
    return max(distribution.minimum, min(distribution.maximum, round(tokens)))


def make_words(label: str, count: int) -> str:
    """Return so many words, the same for the same label."""
    words = [
        xxhash.xxh3_64_hexdigest(f"{label}:{index}".encode())[:HEX_DIGITS_PER_TOKEN]
        for index in range(count)
    ]
    return " ".join(words)


class RequestPlanner:
    """Draws requests of a mix.

    Parameters
    ----------
    mix : TrafficMix
        The mix.
    run_id : str
        Begins every request id, so that two runs share none.
    generator : random.Random
        Source of randomness.
    """

    def __init__(self, mix: TrafficMix, run_id: str, generator: random.Random) -> None:
        self._mix = mix
        self._run_id = run_id
        self._generator = generator
        self._streams = {stream.name: stream for stream in mix.streams}
        self._prefix_weights = {
            stream.name: list(
                accumulate(
                    1.0 / (rank + 1) ** stream.prefix_skew for rank in range(stream.prefixes)
                )
            )
            for stream in mix.streams
        }
        self._prefixes: dict[str, str] = {}
        self._number = 0

    def plan(self, stream_name: str) -> PlannedRequest:
        """Return the next request of a stream."""
        stream = self._streams[stream_name]
        self._number += 1
        request_id = f"{self._run_id}-{self._number}"
        caller_id = f"{stream.name}-{self._generator.randrange(stream.callers)}"
        tenant = self._generator.choice(stream.tenants)
        if stream.kind is TrafficKind.PLAIN:
            return self._plan_plain(stream, request_id, caller_id, tenant)
        return self._plan_model(stream, request_id, caller_id, tenant)

    def _plan_plain(
        self, stream: TrafficStream, request_id: str, caller_id: str, tenant: str
    ) -> PlannedRequest:
        number = str(self._generator.randrange(10_000))
        return PlannedRequest(
            request_id=request_id,
            stream=stream.name,
            kind=stream.kind,
            caller_id=caller_id,
            tenant=tenant,
            method=stream.method,
            path=stream.path.replace("{}", number),
        )

    def _plan_model(
        self, stream: TrafficStream, request_id: str, caller_id: str, tenant: str
    ) -> PlannedRequest:
        max_tokens = draw_tokens(stream.max_tokens, self._generator)
        own_words = make_words(request_id, draw_tokens(stream.prompt_tokens, self._generator))
        disconnects = self._generator.random() < self._mix.disconnect_share
        is_slow_reader = self._generator.random() < self._mix.slow_reader_share
        return PlannedRequest(
            request_id=request_id,
            stream=stream.name,
            kind=stream.kind,
            caller_id=caller_id,
            tenant=tenant,
            model=stream.model,
            prompt=f"{self._draw_prefix(stream)} {own_words}",
            max_tokens=max_tokens,
            disconnect_after_chunks=self._generator.randrange(max_tokens) if disconnects else None,
            pause_per_chunk_seconds=self._mix.slow_reader_pause_seconds if is_slow_reader else 0.0,
        )

    def _draw_prefix(self, stream: TrafficStream) -> str:
        weights = self._prefix_weights[stream.name]
        rank = self._generator.choices(range(stream.prefixes), cum_weights=weights)[0]
        label = f"{stream.name}/{rank}"
        if label not in self._prefixes:
            self._prefixes[label] = make_words(label, stream.prefix_tokens)
        return self._prefixes[label]
