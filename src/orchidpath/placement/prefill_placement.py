"""Where prompts are prefilled: which workers cache a prefix, and what each has queued; pure.

The leader decides every attempt, so it knows where each shared prefix was prefilled last and what
every worker has queued. The cost of a prefill worker for a prompt is the time until the prompt is
prefilled: the wait in its queue, and the prompt itself, without the shared prefix if the worker
has it cached, at the worker's own pace. The hash ring gives the order among equal costs, so a new
leader, which knows nothing yet, and a router that decides alone choose much the same.

A decode worker may prefill a short prompt itself ("decode-side prefill"): more slowly and between
the tokens of its streams, but without a KV transfer. That is chosen when its weighted cost is
lower.

All of this is soft state: an estimate, rebuilt by use. A wrong estimate costs a recomputed prefix.
Costs are in prompt tokens, or in seconds where a worker's measured pace is known; how the weights
were found is told in docs/measured-decisions.md and docs/large-deployments.md.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence

import msgspec

from orchidpath.placement.prefill_queues import PrefillQueues
from orchidpath.wire.configuration import PlacementPolicy
from orchidpath.wire.messages import (
    PREFILL_DONE_SUFFIX,
    AttemptReport,
    DecisionReply,
    DecisionRequest,
    PromptShape,
    StageCandidates,
)
from orchidpath.wire.records import Stage

PREFIX_CACHE_SHARE = 0.8
"""Share of a worker's KV cache assumed to hold shared prefixes; running requests use the rest."""

DEFAULT_CAPACITY_TOKENS = 400_000
"""KV cache of a worker, in tokens, when the configuration does not say."""

RECOMPUTE_WEIGHT = 2.0
"""Weight of a shared token that a worker must recompute: it also delays the requests behind."""

DECODE_SIDE_PREFILL_WEIGHT = 5.0
"""Weight of a token prefilled by a decode worker: half the pace, and its streams slow meanwhile."""

MAX_DECODE_SIDE_PREFILL_TOKENS = 6_000
"""Most tokens that a decode worker prefills: KV transfers to it wait until it is done."""

KV_TRANSFER_TOKENS = 1_500
"""Fixed cost of a KV transfer, in tokens that could be prefilled meanwhile."""

TRANSFERRED_TOKEN_WEIGHT = 0.05
"""Cost of transferring the KV cache of one token, in tokens that could be prefilled meanwhile."""

CROSS_ZONE_TRANSFER_WEIGHT = 0.25
"""Cost of transferring the KV cache of one token to another zone, in tokens, beyond the same-zone
cost: it takes longer and the traffic between zones is paid for."""

CROSS_ZONE_REQUEST_TOKENS = 1_000
"""Cost of a decode worker in another zone than the router's, in tokens.

The request and its stream cross zones, over a connection that is seldom open already.
"""

STREAM_TOKENS = 500
"""Cost of one attempt in flight on a worker, in tokens."""

QUEUED_TOKEN_WEIGHT = 0.5
"""Cost, for a KV transfer, of a token that the decode worker has queued to prefill itself."""

MAX_PENDING_PREFIXES = 40_000
"""Bound on the prefixes remembered as about to be cached, one an attempt and worker."""

MIN_POSTPONED_TOKENS = 2_000
"""A request is postponed only for a shared prefix of at least this many tokens."""

MAX_POSTPONEMENT_SECONDS = 0.15
"""Longest time after which a postponed request asks for a decision again."""

MIN_POSTPONEMENT_SECONDS = 0.03
"""Shortest time after which a postponed request asks for a decision again."""

MAX_OVERDUE_SECONDS = 1.0
"""No request is postponed for a prefill that should have ended this long ago."""


class _CachedPrefixes:
    """Prefixes that one worker is assumed to have cached; the least recently used goes first."""

    def __init__(self) -> None:
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def __contains__(self, prefix_key: int) -> bool:
        return prefix_key in self._tokens

    def use(self, prefix_key: int, tokens: int, capacity_tokens: int) -> None:
        """Mark a prefix as used now, and evict others beyond the capacity."""
        self._total += tokens - self._tokens.pop(prefix_key, 0)
        self._tokens[prefix_key] = tokens
        while self._total > capacity_tokens and len(self._tokens) > 1:
            self._total -= self._tokens.popitem(last=False)[1]


class PrefillPlacement:
    """Orders the candidates of decisions by the cost of prefilling the prompt there.

    Notes
    -----
    ``order_candidates``, ``postponed_seconds`` and ``record_decision`` are called in this order
    for each decision request, ``record_reports`` for each batch of reports.
    """

    def __init__(self) -> None:
        self._cached_prefixes: dict[str, _CachedPrefixes] = {}
        self._queues = PrefillQueues()
        self._pending_prefixes: OrderedDict[tuple[str, str], PromptShape] = OrderedDict()
        self._prefilling: dict[tuple[str, int], str] = {}
        self._capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self._policy = PlacementPolicy()
        self._zones: Mapping[str, str] = {}

    def set_policy(self, policy: PlacementPolicy) -> None:
        """Set which mechanisms are in use."""
        self._policy = policy

    def set_capacity(self, kv_capacity_tokens: int) -> None:
        """Set the KV cache of a worker, in tokens; 0 when it is not known."""
        self._capacity_tokens = kv_capacity_tokens or DEFAULT_CAPACITY_TOKENS

    def set_workers(self, worker_ids: frozenset[str]) -> None:
        """Forget workers that were removed: a new incarnation has nothing cached."""
        for worker_id in [one for one in self._cached_prefixes if one not in worker_ids]:
            del self._cached_prefixes[worker_id]
        for key in [one for one in self._prefilling if one[0] not in worker_ids]:
            del self._prefilling[key]
        self._queues.set_workers(worker_ids)

    def set_zones(self, zones: Mapping[str, str]) -> None:
        """Set the zone of every worker."""
        self._zones = zones

    def waiting_tokens(self, worker_id: str) -> int:
        """Return the tokens that a worker has queued for prefill, as far as is known."""
        return self._queues.waiting_tokens(worker_id)

    def order_candidates(
        self,
        request: DecisionRequest,
        in_flight: Callable[[str], int],
        now: float,
        router_zone: str = "",
    ) -> DecisionRequest:
        """Return the request with its candidates in the order of their cost.

        Parameters
        ----------
        request
            A request whose prefill candidates are in the order of the ring, and whose decode
            candidates are in the order of their links.
        in_flight
            Returns the attempts in flight on a worker.
        now
            Monotonic seconds.
        router_zone
            Zone of the router that asks; empty when it is not known.

        Returns
        -------
        DecisionRequest
            Without prefill candidates when the decode worker is to prefill the prompt.
        """
        prompt = request.prompt
        by_stage = {candidates.stage: candidates for candidates in request.per_stage}
        if prompt is None or Stage.DECODE not in by_stage:
            return request
        self._queues.expire(now)
        decode = by_stage[Stage.DECODE]
        prefill = by_stage.get(Stage.PREFILL)
        if prefill is None:
            near_cost = self._near_cost(request, in_flight, router_zone)
            return msgspec.structs.replace(request, per_stage=(_sorted(decode, near_cost),))
        prefill = self._order_prefill(prefill, prompt, now)
        decode_side_cost = self._decode_side_cost(prompt, in_flight)
        decode_side = _sorted(decode, decode_side_cost)
        if self._is_decode_side_cheaper(prefill, decode_side, decode_side_cost, prompt, now):
            return msgspec.structs.replace(request, per_stage=(decode_side,))
        pair_cost = self._pair_cost(prefill, prompt, in_flight)
        return msgspec.structs.replace(request, per_stage=(prefill, _sorted(decode, pair_cost)))

    def record_decision(self, request: DecisionRequest, reply: DecisionReply, now: float) -> float:
        """Record where a prompt is going to be prefilled, and which workers will cache it.

        Returns
        -------
        float
            Seconds until the prefill is expected to end; 0 when there is none.
        """
        prompt = request.prompt
        if prompt is None or request.attempt_id in self._queues:
            return 0.0
        expected_seconds = 0.0
        first_stage = request.per_stage[0].stage if request.per_stage else None
        for choice in reply.choices:
            if choice.stage is first_stage and not request.is_read:
                expected_seconds = self._queues.begin(
                    request.attempt_id,
                    choice.worker_id,
                    self._uncached_tokens(choice.worker_id, prompt),
                    now,
                    measures_pace=choice.stage is Stage.PREFILL,
                )
            if choice.stage is Stage.PREFILL and not self._has_cached(choice.worker_id, prompt):
                self._prefilling[choice.worker_id, prompt.prefix_key] = request.attempt_id
            if choice.stage in {Stage.PREFILL, Stage.DECODE}:
                self._pending_prefixes[request.attempt_id, choice.worker_id] = prompt
                if len(self._pending_prefixes) > MAX_PENDING_PREFIXES:
                    self._pending_prefixes.popitem(last=False)
        return expected_seconds

    def postponed_seconds(self, request: DecisionRequest, now: float) -> float:
        """Return after how long a request should ask again; 0 when it can be decided now.

        A worker that is prefilling a shared prefix does not have it cached yet: a second prompt
        with the same prefix, sent there meanwhile, would have all of it computed twice.

        Parameters
        ----------
        request
            A request in the order of :meth:`order_candidates`.
        now
            Monotonic seconds.
        """
        prompt = request.prompt
        if not self._policy.postponement:
            return 0.0
        if prompt is None or not request.may_wait or prompt.shared_tokens < MIN_POSTPONED_TOKENS:
            return 0.0
        first = request.per_stage[0]
        if first.stage is not Stage.PREFILL or not first.candidates:
            return 0.0
        attempt_id = self._prefilling_attempt(first.candidates[0], prompt)
        if attempt_id is None:
            return 0.0
        expected_end = self._queues.expected_end(attempt_id)
        if expected_end is None or now > expected_end + MAX_OVERDUE_SECONDS:
            return 0.0
        remaining_seconds = min(expected_end - now, MAX_POSTPONEMENT_SECONDS)
        return max(remaining_seconds, MIN_POSTPONEMENT_SECONDS)

    def record_reports(self, reports: Sequence[AttemptReport], now: float) -> None:
        """Record prefills that have ended."""
        for report in reports:
            attempt_id = report.attempt_id.removesuffix(PREFILL_DONE_SUFFIX)
            was_completed = attempt_id != report.attempt_id
            self._queues.end(attempt_id, report.worker_id, now, was_completed=was_completed)
            prompt = self._pending_prefixes.pop((attempt_id, report.worker_id), None)
            if prompt is None:
                continue
            if self._prefilling.get((report.worker_id, prompt.prefix_key)) == attempt_id:
                del self._prefilling[report.worker_id, prompt.prefix_key]
            if was_completed:
                self._add_cached(report.worker_id, prompt)

    def _load_cost(self, worker_id: str, in_flight: Callable[[str], int]) -> float:
        waiting = QUEUED_TOKEN_WEIGHT * self.waiting_tokens(worker_id)
        return waiting + STREAM_TOKENS * in_flight(worker_id)

    def _near_cost(
        self, request: DecisionRequest, in_flight: Callable[[str], int], router_zone: str
    ) -> Callable[[str], float]:
        """Return the cost of a decode worker that needs no KV transfer from a prefill worker."""
        prefers_near = self._policy.near_requests and not request.is_read and bool(router_zone)

        def cost(worker_id: str) -> float:
            is_far = prefers_near and self._zones.get(worker_id, "") != router_zone
            return self._load_cost(worker_id, in_flight) + (
                CROSS_ZONE_REQUEST_TOKENS if is_far else 0.0
            )

        return cost

    def _decode_side_cost(
        self, prompt: PromptShape, in_flight: Callable[[str], int]
    ) -> Callable[[str], float]:
        """Return the cost of a decode worker that prefills the prompt itself."""

        def cost(worker_id: str) -> float:
            tokens = self.waiting_tokens(worker_id) + self._uncached_tokens(worker_id, prompt)
            return DECODE_SIDE_PREFILL_WEIGHT * tokens + STREAM_TOKENS * in_flight(worker_id)

        return cost

    def _pair_cost(
        self, prefill: StageCandidates, prompt: PromptShape, in_flight: Callable[[str], int]
    ) -> Callable[[str], float]:
        """Return the cost of a decode worker that pulls the KV cache from the prefill worker."""
        prefill_zone = self._zones.get(next(iter(prefill.candidates), ""), "")
        far_cost = CROSS_ZONE_TRANSFER_WEIGHT * (prompt.own_tokens + prompt.shared_tokens)

        def cost(worker_id: str) -> float:
            is_far = self._policy.near_pairs and self._zones.get(worker_id, "") != prefill_zone
            return self._load_cost(worker_id, in_flight) + (far_cost if is_far else 0.0)

        return cost

    def _order_prefill(
        self, candidates: StageCandidates, prompt: PromptShape, now: float
    ) -> StageCandidates:
        cached_workers = self._cached_workers(candidates, prompt)

        def cost(worker_id: str) -> float:
            tokens = float(prompt.own_tokens)
            if worker_id not in cached_workers:
                tokens += RECOMPUTE_WEIGHT * prompt.shared_tokens
            wait_seconds = self._queues.wait_seconds(worker_id, now)
            return wait_seconds + tokens * self._queues.seconds_per_token(worker_id)

        return _sorted(candidates, cost)

    def _cached_workers(self, candidates: StageCandidates, prompt: PromptShape) -> set[str]:
        """Return the candidates that have the shared prefix cached, or will have it soon."""
        if not self._policy.prefix_affinity:
            return set(candidates.candidates)
        found = {
            one
            for one in candidates.candidates
            if self._has_cached(one, prompt) or self._prefilling_attempt(one, prompt) is not None
        }
        # A former leader, and every router that decides alone, sends it to the first one.
        return found or set(candidates.candidates[:1])

    def _is_decode_side_cheaper(
        self,
        prefill: StageCandidates,
        decode_side: StageCandidates,
        decode_side_cost: Callable[[str], float],
        prompt: PromptShape,
        now: float,
    ) -> bool:
        """Whether the first decode candidate prefills the prompt at a lower cost than a pair."""
        if not prefill.candidates or not decode_side.candidates or not self._policy.direct_reads:
            return False
        decode_worker = decode_side.candidates[0]
        if self._uncached_tokens(decode_worker, prompt) > MAX_DECODE_SIDE_PREFILL_TOKENS:
            return False
        prefill_worker = prefill.candidates[0]
        total_tokens = prompt.own_tokens + prompt.shared_tokens
        wait_seconds = self._queues.wait_seconds(prefill_worker, now)
        pair_cost = (
            wait_seconds / self._queues.typical_seconds_per_token()
            + self._uncached_tokens(prefill_worker, prompt)
            + KV_TRANSFER_TOKENS
            + TRANSFERRED_TOKEN_WEIGHT * total_tokens
        )
        return decode_side_cost(decode_worker) < pair_cost

    def _has_cached(self, worker_id: str, prompt: PromptShape) -> bool:
        cached = self._cached_prefixes.get(worker_id)
        return cached is not None and prompt.prefix_key in cached

    def _prefilling_attempt(self, worker_id: str, prompt: PromptShape) -> str | None:
        """Return the attempt for which a worker is prefilling the shared prefix of a prompt."""
        attempt_id = self._prefilling.get((worker_id, prompt.prefix_key))
        return attempt_id if attempt_id is not None and attempt_id in self._queues else None

    def _uncached_tokens(self, worker_id: str, prompt: PromptShape) -> int:
        if self._has_cached(worker_id, prompt):
            return prompt.own_tokens
        return prompt.own_tokens + prompt.shared_tokens

    def _add_cached(self, worker_id: str, prompt: PromptShape) -> None:
        if prompt.shared_tokens:
            cached = self._cached_prefixes.setdefault(worker_id, _CachedPrefixes())
            capacity_tokens = int(self._capacity_tokens * PREFIX_CACHE_SHARE)
            cached.use(prompt.prefix_key, prompt.shared_tokens, capacity_tokens)


def _sorted(candidates: StageCandidates, cost: Callable[[str], float]) -> StageCandidates:
    """Return candidates by cost; workers tried already come last, equal costs keep their order."""

    def key(worker_id: str) -> tuple[bool, float]:
        return worker_id in candidates.tried, cost(worker_id)

    ordered = tuple(sorted(candidates.candidates, key=key))
    return msgspec.structs.replace(candidates, candidates=ordered)
