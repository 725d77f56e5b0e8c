"""Cost-based placement of prefills: estimates of cached prefixes and of prefill queues.

The leader decides every attempt, so it can track where each shared prefix was prefilled last and
which prompts every worker has queued. The cost of a prefill worker for a prompt is the time until
the prompt is prefilled. It consists of the wait in the worker's queue and of the prefill itself at
the worker's own pace; the shared prefix is left out if the worker has it cached. Workers of equal
cost are taken in the order of the hash ring. A new leader without any estimates and a router that
decides without the leader therefore choose mostly the same workers.

A decode worker can also prefill a short prompt itself ("decode-side prefill"). This is slower and
alternates with the decode steps of its running requests, but it needs no KV transfer. It is chosen
when its weighted cost is lower.

All of this is soft state: estimates that are rebuilt from new decisions and reports. A wrong
estimate causes at most the recomputation of a prefix. Costs are in prompt tokens, except that
prefill workers are compared in seconds at their own pace. docs/measured-decisions.md and
docs/large-deployments.md explain the weights. The module does no input or output; callers pass in
the time.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence

import msgspec

from orchidpath.placement.cached_prefixes import CachedPrefixes
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
"""Share of a worker's KV cache that is assumed to hold shared prefixes.

Running requests use the rest.
"""

DEFAULT_CAPACITY_TOKENS = 400_000
"""KV cache capacity of a worker, in tokens, if the configuration does not set one."""

RECOMPUTE_WEIGHT = 2.0
"""Cost of recomputing one shared token, in tokens.

It is above 1 because the recomputation also delays the requests queued behind it.
"""

DECODE_SIDE_PREFILL_WEIGHT = 5.0
"""Cost of prefilling one token on a decode worker, in tokens.

A decode worker prefills at half the pace, and its running requests decode more slowly during the
prefill.
"""

MAX_DECODE_SIDE_PREFILL_TOKENS = 6_000
"""Upper bound on a decode-side prefill, in tokens.

KV transfers to the decode worker wait until the prefill is complete.
"""

KV_TRANSFER_TOKENS = 1_500
"""Fixed cost of a KV transfer, in tokens that could be prefilled during it."""

TRANSFERRED_TOKEN_WEIGHT = 0.05
"""Cost of transferring the KV cache of one token, in tokens that could be prefilled during it."""

CROSS_ZONE_TRANSFER_WEIGHT = 0.25
"""Extra cost of transferring the KV cache of one token to another zone, in tokens.

A cross-zone transfer takes longer than one within the zone, and cross-zone traffic is billed.
"""

CROSS_ZONE_REQUEST_TOKENS = 1_000
"""Extra cost of a decode worker outside the router's zone, in tokens.

The request and its stream cross zones, and a connection usually has to be opened first.
"""

STREAM_TOKENS = 500
"""Cost of each attempt in flight on a worker, in tokens."""

QUEUED_TOKEN_WEIGHT = 0.5
"""Cost of one token queued for decode-side prefill on a decode worker, in tokens.

The queued prefills delay KV transfers to that worker.
"""

MAX_PENDING_PREFIXES = 40_000
"""Upper bound on the tracked prefixes that a worker will soon cache.

There is one entry per attempt and worker.
"""

MIN_POSTPONED_TOKENS = 2_000
"""Minimum length of a shared prefix, in tokens, for which a request is postponed."""

MAX_POSTPONEMENT_SECONDS = 0.15
"""Longest time after which a postponed request is submitted for a decision again."""

MIN_POSTPONEMENT_SECONDS = 0.03
"""Shortest time after which a postponed request is submitted for a decision again."""

MAX_OVERDUE_SECONDS = 1.0
"""Requests are not postponed for a prefill that is overdue by more than this time."""


class PrefillPlacement:
    """Orders the candidate workers of a decision by the cost of running the attempt on them.

    Notes
    -----
    ``order_candidates``, ``postponed_seconds`` and ``record_decision`` are called in this order
    for each decision request, ``record_reports`` for each batch of reports.
    """

    def __init__(self) -> None:
        self._cached_prefixes: dict[str, CachedPrefixes] = {}
        self._queues = PrefillQueues()
        self._pending_prefixes: OrderedDict[tuple[str, str], PromptShape] = OrderedDict()
        self._prefilling: dict[tuple[str, int], str] = {}
        self._capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self._policy = PlacementPolicy()
        self._zones: Mapping[str, str] = {}

    def set_policy(self, policy: PlacementPolicy) -> None:
        """Set which placement mechanisms are enabled."""
        self._policy = policy

    def set_capacity(self, kv_capacity_tokens: int) -> None:
        """Set the KV cache capacity of each worker, in tokens; 0 selects the default."""
        self._capacity_tokens = kv_capacity_tokens or DEFAULT_CAPACITY_TOKENS

    def set_workers(self, worker_ids: frozenset[str]) -> None:
        """Discard the state of workers that were removed.

        A new incarnation of a worker starts with an empty cache.
        """
        for worker_id in [
            worker_id for worker_id in self._cached_prefixes if worker_id not in worker_ids
        ]:
            del self._cached_prefixes[worker_id]
        for key in [key for key in self._prefilling if key[0] not in worker_ids]:
            del self._prefilling[key]
        self._queues.set_workers(worker_ids)

    def set_zones(self, zones: Mapping[str, str]) -> None:
        """Set the zone of each worker, by worker id."""
        self._zones = zones

    def waiting_tokens(self, worker_id: str) -> int:
        """Return the estimated number of tokens queued for prefill on a worker."""
        return self._queues.waiting_tokens(worker_id)

    def order_candidates(
        self,
        request: DecisionRequest,
        in_flight: Callable[[str], int],
        now: float,
        router_zone: str = "",
    ) -> DecisionRequest:
        """Return the request with its candidates sorted by increasing cost.

        Parameters
        ----------
        request
            A request whose prefill candidates are in hash ring order and whose decode candidates
            are in the order of their links.
        in_flight
            Returns the number of attempts in flight on a worker.
        now
            Monotonic seconds.
        router_zone
            Zone of the router that sent the request; empty if unknown.

        Returns
        -------
        DecisionRequest
            The request with sorted candidates. It has no prefill candidates if a decode worker is
            to prefill the prompt.
        """
        prompt = request.prompt
        by_stage = {candidates.stage: candidates for candidates in request.per_stage}
        if prompt is None or Stage.DECODE not in by_stage:
            return request
        self._queues.expire(now)
        decode = by_stage[Stage.DECODE]
        prefill = by_stage.get(Stage.PREFILL)
        if prefill is None:
            transfer_free_cost = self._transfer_free_cost(request, in_flight, router_zone)
            return msgspec.structs.replace(
                request, per_stage=(_sorted(decode, transfer_free_cost),)
            )
        prefill = self._order_prefill(prefill, prompt, now)
        decode_side_cost = self._decode_side_cost(prompt, in_flight)
        decode_side = _sorted(decode, decode_side_cost)
        if self._is_decode_side_cheaper(prefill, decode_side, decode_side_cost, prompt, now):
            return msgspec.structs.replace(request, per_stage=(decode_side,))
        pair_cost = self._pair_cost(prefill, prompt, in_flight)
        return msgspec.structs.replace(request, per_stage=(prefill, _sorted(decode, pair_cost)))

    def record_decision(self, request: DecisionRequest, reply: DecisionReply, now: float) -> float:
        """Record the workers chosen for an attempt: its prefill, and the prefixes to be cached.

        Returns
        -------
        float
            Seconds until the prefill is expected to end; 0 if no prefill was recorded.
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
                self._record_prefilling(choice.worker_id, prompt, request.attempt_id)
            if choice.stage in {Stage.PREFILL, Stage.DECODE}:
                self._pending_prefixes[request.attempt_id, choice.worker_id] = prompt
                if len(self._pending_prefixes) > MAX_PENDING_PREFIXES:
                    self._pending_prefixes.popitem(last=False)
        return expected_seconds

    def _record_prefilling(self, worker_id: str, prompt: PromptShape, attempt_id: str) -> None:
        """Record which attempt prefills a prefix; a prefill may end without a report."""
        self._prefilling.pop((worker_id, prompt.prefix_key), None)
        self._prefilling[worker_id, prompt.prefix_key] = attempt_id
        if len(self._prefilling) > MAX_PENDING_PREFIXES:
            del self._prefilling[next(iter(self._prefilling))]

    def postponed_seconds(self, request: DecisionRequest, now: float) -> float:
        """Return the seconds by which to postpone a request; 0 if it can be decided now.

        A worker that is still prefilling a shared prefix does not have it cached yet. A second
        prompt with the same prefix sent to it before then would compute the prefix again.

        Parameters
        ----------
        request
            A request as returned by :meth:`order_candidates`.
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
        """Record the prefills that a batch of reports says have completed or failed."""
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

    def _transfer_free_cost(
        self, request: DecisionRequest, in_flight: Callable[[str], int], router_zone: str
    ) -> Callable[[str], float]:
        """Return the cost function of decode workers for a request without a prefill stage."""
        prefers_local = self._policy.near_requests and not request.is_read and bool(router_zone)

        def cost(worker_id: str) -> float:
            is_cross_zone = prefers_local and self._zones.get(worker_id, "") != router_zone
            return self._load_cost(worker_id, in_flight) + (
                CROSS_ZONE_REQUEST_TOKENS if is_cross_zone else 0.0
            )

        return cost

    def _decode_side_cost(
        self, prompt: PromptShape, in_flight: Callable[[str], int]
    ) -> Callable[[str], float]:
        """Return the cost function of decode workers that prefill the prompt themselves."""

        def cost(worker_id: str) -> float:
            tokens = self.waiting_tokens(worker_id) + self._uncached_tokens(worker_id, prompt)
            return DECODE_SIDE_PREFILL_WEIGHT * tokens + STREAM_TOKENS * in_flight(worker_id)

        return cost

    def _pair_cost(
        self, prefill: StageCandidates, prompt: PromptShape, in_flight: Callable[[str], int]
    ) -> Callable[[str], float]:
        """Return the cost function of decode workers that pull KV cache from a prefill worker."""
        prefill_zone = self._zones.get(next(iter(prefill.candidates), ""), "")
        cross_zone_cost = CROSS_ZONE_TRANSFER_WEIGHT * (prompt.own_tokens + prompt.shared_tokens)

        def cost(worker_id: str) -> float:
            is_cross_zone = (
                self._policy.near_pairs and self._zones.get(worker_id, "") != prefill_zone
            )
            return self._load_cost(worker_id, in_flight) + (
                cross_zone_cost if is_cross_zone else 0.0
            )

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
        """Return the candidates that have the shared prefix cached or are prefilling it.

        If there are none, return the first candidate.
        """
        if not self._policy.prefix_affinity:
            return set(candidates.candidates)
        found = {
            worker_id
            for worker_id in candidates.candidates
            if self._has_cached(worker_id, prompt)
            or self._prefilling_attempt(worker_id, prompt) is not None
        }
        # Former leaders, and routers that decide without the leader, send prompts with this prefix
        # to the first candidate. It is therefore the worker most likely to have the prefix cached.
        return found or set(candidates.candidates[:1])

    def _is_decode_side_cheaper(
        self,
        prefill: StageCandidates,
        decode_side: StageCandidates,
        decode_side_cost: Callable[[str], float],
        prompt: PromptShape,
        now: float,
    ) -> bool:
        """Return whether decode-side prefill on the first decode candidate is cheaper.

        The alternative is a prefill on the first prefill candidate, followed by a KV transfer.
        """
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
        """Return the attempt that is prefilling the shared prefix of a prompt on a worker."""
        attempt_id = self._prefilling.get((worker_id, prompt.prefix_key))
        return attempt_id if attempt_id is not None and attempt_id in self._queues else None

    def _uncached_tokens(self, worker_id: str, prompt: PromptShape) -> int:
        if self._has_cached(worker_id, prompt):
            return prompt.own_tokens
        return prompt.own_tokens + prompt.shared_tokens

    def _add_cached(self, worker_id: str, prompt: PromptShape) -> None:
        if prompt.shared_tokens:
            cached = self._cached_prefixes.setdefault(worker_id, CachedPrefixes())
            capacity_tokens = int(self._capacity_tokens * PREFIX_CACHE_SHARE)
            cached.use(prompt.prefix_key, prompt.shared_tokens, capacity_tokens)


def _sorted(candidates: StageCandidates, cost: Callable[[str], float]) -> StageCandidates:
    """Return the candidates by increasing cost, with workers that were already tried last.

    Candidates of equal cost keep their order.
    """

    def key(worker_id: str) -> tuple[bool, float]:
        return worker_id in candidates.tried, cost(worker_id)

    ordered = tuple(sorted(candidates.candidates, key=key))
    return msgspec.structs.replace(candidates, candidates=ordered)
