"""Generated requests: prompts with shared prefixes, and request ids."""

import random

from orchidpath.emulators.client.request_plan import RequestPlanner
from orchidpath.emulators.client.traffic_mix import TrafficKind, TrafficMix, TrafficStream

STREAM = TrafficStream(name="wine", kind=TrafficKind.MODEL, rate_per_second=50.0, model="wine")


def test_requests_share_skewed_prefixes_and_have_unique_ids() -> None:
    planner = RequestPlanner(TrafficMix(streams=[STREAM]), "run", random.Random(1))
    planned = [planner.plan("wine") for _ in range(300)]
    assert len({request.request_id for request in planned}) == 300
    prefixes = [" ".join(request.prompt.split()[:512]) for request in planned]
    counts = sorted((prefixes.count(prefix) for prefix in set(prefixes)), reverse=True)
    assert len(counts) <= STREAM.prefixes
    assert counts[0] > 3 * counts[-1]
