"""What callers send: streams of requests, swings of their rates and crowds."""

from enum import StrEnum

import msgspec


class TrafficMixError(Exception):
    """A traffic mix that cannot be used; the message names the field."""


class TrafficKind(StrEnum):
    """Kind of requests of a stream."""

    MODEL = "model"
    PLAIN = "plain"


class TokenDistribution(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A log-normal number of tokens between two bounds."""

    median: int = 64
    sigma: float = 0.5
    minimum: int = 1
    maximum: int = 4096


class TrafficStream(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Requests of one kind.

    ``prompt_tokens`` counts the part after the shared prefix. Prefixes are drawn with weights
    ``1 / rank ** prefix_skew``. ``path`` may hold ``{}``, which is replaced by a number.
    ``callers`` is how many caller ids share the stream; each sticks to its nearby router.
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
    """From this time on, the rate is multiplied; between two points it changes evenly."""

    at_seconds: float
    multiplier: float


class Swing(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A multiplier of rates over time, for the named streams or, without names, for all."""

    points: list[RatePoint]
    streams: list[str] = []


class CrowdBurst(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """So many requests of a stream more, spread evenly over a short time."""

    stream: str
    at_seconds: float
    requests: int
    over_seconds: float = 0.1


class TrafficMix(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole mix.

    ``disconnect_share`` of the model requests are abandoned by their caller in the middle;
    ``slow_reader_share`` of them are read with a pause at each chunk.
    """

    streams: list[TrafficStream]
    swings: list[Swing] = []
    bursts: list[CrowdBurst] = []
    slow_reader_share: float = 0.0
    slow_reader_pause_seconds: float = 0.2
    disconnect_share: float = 0.0


def decode_traffic_mix(content: bytes, is_toml: bool) -> TrafficMix:
    """Decode and check a traffic mix.

    Parameters
    ----------
    content : bytes
        The file's content.
    is_toml : bool
        TOML or JSON.

    Returns
    -------
    TrafficMix
        The mix.

    Raises
    ------
    TrafficMixError
        If it cannot be decoded or makes no sense.
    """
    decode = msgspec.toml.decode if is_toml else msgspec.json.decode
    try:
        mix = decode(content, type=TrafficMix)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise TrafficMixError(str(problem)) from problem
    check_traffic_mix(mix)
    return mix


def check_traffic_mix(mix: TrafficMix) -> None:
    """Check what the types cannot.

    Raises
    ------
    TrafficMixError
        With the first thing found wrong.
    """
    names = {stream.name for stream in mix.streams}
    if len(names) != len(mix.streams):
        raise TrafficMixError("streams: two streams have the same name")
    for stream in mix.streams:
        _check_stream(stream)
    for burst in mix.bursts:
        if burst.stream not in names:
            raise TrafficMixError(f"bursts: no stream is named {burst.stream!r}")
    for swing in mix.swings:
        _check_swing(swing, names)
    for share in (mix.slow_reader_share, mix.disconnect_share):
        if not 0.0 <= share <= 1.0:
            raise TrafficMixError(f"a share must be between 0 and 1, not {share}")


def _check_stream(stream: TrafficStream) -> None:
    if stream.rate_per_second < 0:
        raise TrafficMixError(f"streams: {stream.name}: rate_per_second is negative")
    if stream.kind is TrafficKind.MODEL and not stream.model:
        raise TrafficMixError(f"streams: {stream.name}: a model stream needs model")
    if stream.kind is TrafficKind.PLAIN and not stream.path.startswith("/"):
        raise TrafficMixError(f"streams: {stream.name}: a plain stream needs a path from /")
    if not stream.tenants or stream.callers < 1 or stream.prefixes < 1:
        raise TrafficMixError(f"streams: {stream.name}: tenants, callers and prefixes: one or more")


def _check_swing(swing: Swing, names: set[str]) -> None:
    if not swing.points:
        raise TrafficMixError("swings: a swing needs points")
    times = [point.at_seconds for point in swing.points]
    if times != sorted(times):
        raise TrafficMixError("swings: points must be in the order of their times")
    if any(point.multiplier < 0 for point in swing.points):
        raise TrafficMixError("swings: a multiplier is negative")
    unknown = [name for name in swing.streams if name not in names]
    if unknown:
        raise TrafficMixError(f"swings: no stream is named {unknown[0]!r}")
