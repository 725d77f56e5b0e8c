"""Generation of the requests of a traffic mix."""

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
"""A word of a prompt is four characters long with its trailing space, like a typical token."""


class PlannedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request with everything that its caller needs to send it and verify the answer.

    ``disconnect_after_chunks``, if set, is the number of content chunks after which the caller
    closes the connection.
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


def sample_tokens(distribution: TokenDistribution, generator: random.Random) -> int:
    """Return a random number of tokens from a distribution."""
    tokens = distribution.median * generator.lognormvariate(0.0, distribution.sigma)
    return max(distribution.minimum, min(distribution.maximum, round(tokens)))


def make_words(label: str, count: int) -> str:
    """Return ``count`` words separated by spaces; equal labels give equal words."""
    words = [
        xxhash.xxh3_64_hexdigest(f"{label}:{index}".encode())[:HEX_DIGITS_PER_TOKEN]
        for index in range(count)
    ]
    return " ".join(words)


class RequestPlanner:
    """Generates the requests of a traffic mix.

    Parameters
    ----------
    mix : TrafficMix
        The traffic mix.
    run_id : str
        Prefix of every request id, so that two runs have no request id in common.
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
        max_tokens = sample_tokens(stream.max_tokens, self._generator)
        unique_words = make_words(request_id, sample_tokens(stream.prompt_tokens, self._generator))
        disconnects = self._generator.random() < self._mix.disconnect_share
        is_slow_reader = self._generator.random() < self._mix.slow_reader_share
        return PlannedRequest(
            request_id=request_id,
            stream=stream.name,
            kind=stream.kind,
            caller_id=caller_id,
            tenant=tenant,
            model=stream.model,
            prompt=f"{self._sample_prefix(stream)} {unique_words}",
            max_tokens=max_tokens,
            disconnect_after_chunks=self._generator.randrange(max_tokens) if disconnects else None,
            pause_per_chunk_seconds=self._mix.slow_reader_pause_seconds if is_slow_reader else 0.0,
        )

    def _sample_prefix(self, stream: TrafficStream) -> str:
        weights = self._prefix_weights[stream.name]
        rank = self._generator.choices(range(stream.prefixes), cum_weights=weights)[0]
        label = f"{stream.name}/{rank}"
        if label not in self._prefixes:
            self._prefixes[label] = make_words(label, stream.prefix_tokens)
        return self._prefixes[label]
