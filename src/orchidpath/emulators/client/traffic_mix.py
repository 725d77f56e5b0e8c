"""Traffic mix of the callers: request streams, rate variations (``swings``) and bursts."""

from enum import StrEnum

import msgspec


class TrafficMixError(Exception):
    """The traffic mix is invalid; the message names the field."""


class TrafficKind(StrEnum):
    """Kind of the requests of a stream."""

    MODEL = "model"
    PLAIN = "plain"


class TokenDistribution(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Log-normal distribution of a number of tokens, clamped to two bounds."""

    median: int = 64
    sigma: float = 0.5
    minimum: int = 1
    maximum: int = 4096


class TrafficStream(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A stream of requests of one kind.

    ``prompt_tokens`` is the length of the prompt after its shared prefix. The prefix is selected
    at random with weight ``1 / rank ** prefix_skew``. ``path`` may contain ``{}``, which is
    replaced by a random number. ``callers`` is the number of caller ids that share the stream;
    each caller stays with its preferred router while that router is ready.
    """

    name: str
    kind: TrafficKind
    rate_per_second: float
    model: str = ""
    method: str = "GET"
    path: str = ""
    prompt_tokens: TokenDistribution = TokenDistribution()
    max_tokens: TokenDistribution = TokenDistribution(maximum=1024)
    tenants: tuple[str, ...] = ("default",)
    callers: int = 50
    prefixes: int = 20
    prefix_tokens: int = 512
    prefix_skew: float = 1.1


class RatePoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The rate multiplier at one time; it changes linearly between two points."""

    at_seconds: float
    multiplier: float


class RateVariation(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Variation of the rate over time, for the named streams or, without names, for all."""

    points: list[RatePoint]
    streams: list[str] = []


class RequestBurst(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Additional requests of one stream, spread evenly over a short time."""

    stream: str
    at_seconds: float
    requests: int
    over_seconds: float = 0.1


class TrafficMix(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A complete traffic mix.

    ``disconnect_share`` is the share of model requests whose caller closes the connection during
    the answer. ``slow_reader_share`` is the share whose caller pauses after each chunk it reads.
    """

    streams: list[TrafficStream]
    swings: list[RateVariation] = []
    bursts: list[RequestBurst] = []
    slow_reader_share: float = 0.0
    slow_reader_pause_seconds: float = 0.2
    disconnect_share: float = 0.0


def decode_traffic_mix(content: bytes, is_toml: bool) -> TrafficMix:
    """Decode and validate a traffic mix.

    Parameters
    ----------
    content : bytes
        Content of the file.
    is_toml : bool
        Whether the content is TOML; otherwise it is JSON.

    Returns
    -------
    TrafficMix
        The validated traffic mix.

    Raises
    ------
    TrafficMixError
        If the content cannot be decoded or the mix is invalid.
    """
    decode = msgspec.toml.decode if is_toml else msgspec.json.decode
    try:
        mix = decode(content, type=TrafficMix)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise TrafficMixError(str(problem)) from problem
    check_traffic_mix(mix)
    return mix


def check_traffic_mix(mix: TrafficMix) -> None:
    """Validate the constraints that the field types do not express.

    Raises
    ------
    TrafficMixError
        If a constraint is violated; the message names the first one.
    """
    names = {stream.name for stream in mix.streams}
    if len(names) != len(mix.streams):
        raise TrafficMixError("streams: two streams have the same name; names must be unique")
    for stream in mix.streams:
        _check_stream(stream)
    for burst in mix.bursts:
        if burst.stream not in names:
            raise TrafficMixError(f"bursts: no stream is named {burst.stream!r}")
    for variation in mix.swings:
        _check_rate_variation(variation, names)
    for share in (mix.slow_reader_share, mix.disconnect_share):
        if not 0.0 <= share <= 1.0:
            raise TrafficMixError(
                f"slow_reader_share and disconnect_share must be between 0 and 1, got {share}"
            )


def _check_stream(stream: TrafficStream) -> None:
    if stream.rate_per_second < 0:
        raise TrafficMixError(f"streams: {stream.name}: rate_per_second must not be negative")
    if stream.kind is TrafficKind.MODEL and not stream.model:
        raise TrafficMixError(f"streams: {stream.name}: a stream of kind model requires model")
    if stream.kind is TrafficKind.PLAIN and not stream.path.startswith("/"):
        raise TrafficMixError(f"streams: {stream.name}: path of a plain stream must start with /")
    if not stream.tenants or stream.callers < 1 or stream.prefixes < 1:
        raise TrafficMixError(
            f"streams: {stream.name}: tenants, callers and prefixes must each be at least one"
        )


def _check_rate_variation(variation: RateVariation, names: set[str]) -> None:
    if not variation.points:
        raise TrafficMixError("swings: points must contain at least one entry")
    times = [point.at_seconds for point in variation.points]
    if times != sorted(times):
        raise TrafficMixError("swings: points must be sorted by at_seconds")
    if any(point.multiplier < 0 for point in variation.points):
        raise TrafficMixError("swings: multiplier must not be negative")
    unknown = [name for name in variation.streams if name not in names]
    if unknown:
        raise TrafficMixError(f"swings: no stream is named {unknown[0]!r}")
