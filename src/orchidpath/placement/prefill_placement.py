"""Where prompts are read: which workers hold a prefix, and how much each has to read; pure.

The leader decides every attempt, so it knows where each shared prefix was read last and what every
worker still has to read. The cost of a worker for a prompt is how long it would take until the
prompt is read: what waits there, and the prompt itself without the shared part if the worker holds
that, at the worker's own pace. The ring gives the order among equals, so a new leader, which knows
nothing yet, and a router that decides alone choose much the same.

A prompt may also be read by the decode worker itself, more slowly and between the tokens of its
streams, but without a hand-over. That is chosen when its cost, so weighed, is lower.

All of it is soft state: it is an estimate, rebuilt by use, and a wrong one costs a prompt that is
read again.
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

CAPACITY_SHARE = 0.8
"""Share of a worker's KV cache that is taken to hold shared prefixes; the rest serves requests."""

DEFAULT_CAPACITY_TOKENS = 400_000
"""Capacity of a worker of which the configuration says nothing."""

RECOMPUTE_WEIGHT = 2.0
"""Weight of shared tokens that a worker does not hold: reading them delays whoever comes next."""

DIRECT_READ_WEIGHT = 5.0
"""Weight of a token that a decode worker reads.

It reads at half the pace of a prefill worker, and slows its streams meanwhile. With a weight of 2
quiet days lost 0.07 of their worth: decode workers read while pairs were free.
"""

MAX_DECODE_SIDE_PREFILL_TOKENS = 6_000
"""A decode worker is not chosen to read more: nothing else is taken up there meanwhile.

Seen on the bench: 22,000 tokens kept every hand-over to one worker waiting for two seconds.
"""

KV_TRANSFER_TOKENS = 1_500
"""Cost of a hand-over, in tokens that could be read meanwhile."""

MOVED_TOKEN_WEIGHT = 0.05
"""Cost of moving the KV cache of one token, in tokens that could be read meanwhile."""

FAR_MOVE_WEIGHT = 0.25
"""Cost of moving the KV cache of one token to another zone, beyond that of moving it in its zone.

Moves between zones take longer and cost money. In the same unit.
"""

FAR_REQUEST_TOKENS = 1_000
"""Cost of a prompt that a decode worker in another zone than the router's reads, in tokens.

The request and its stream cross zones, over a connection that is seldom open already.
"""

STREAM_TOKENS = 500
"""Cost of reading beside one running stream, in tokens."""

WAITING_TOKEN_WEIGHT = 0.5
"""Cost for a hand-over of a token that a decode worker still has to read itself."""


MAX_AWAITED = 40_000
"""Prompts that workers will hold soon and that are remembered."""

LEAST_AWAITED_TOKENS = 2_000
"""Nobody waits for the read of a shorter shared part."""

LONGEST_POSTPONEMENT_SECONDS = 0.15
"""A postponed request asks again after this long at the latest."""

SHORTEST_POSTPONEMENT_SECONDS = 0.03
"""A postponed request does not ask again sooner."""

OVERDUE_SECONDS = 1.0
"""Nobody waits longer for a read that should have ended."""


class _CachedPrefixes:
    """Prefixes that one worker is taken to hold; the one used longest ago goes first."""

    def __init__(self) -> None:
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def __contains__(self, prefix_key: int) -> bool:
        return prefix_key in self._tokens

    def use(self, prefix_key: int, tokens: int, capacity_tokens: int) -> None:
        self._total += tokens - self._tokens.pop(prefix_key, 0)
        self._tokens[prefix_key] = tokens
        while self._total > capacity_tokens and len(self._tokens) > 1:
            self._total -= self._tokens.popitem(last=False)[1]


class PrefillPlacement:
    """Orders the candidates of decisions by what they would have to read."""

    def __init__(self) -> None:
        self._cached_prefixes: dict[str, _CachedPrefixes] = {}
        self._queues = PrefillQueues()
        self._awaited: OrderedDict[tuple[str, str], PromptShape] = OrderedDict()
        self._reading: dict[tuple[str, int], str] = {}
        self._capacity_tokens = DEFAULT_CAPACITY_TOKENS
        self._policy = PlacementPolicy()
        self._zones: Mapping[str, str] = {}

    def set_policy(self, policy: PlacementPolicy) -> None:
        """Take which mechanisms are in use."""
        self._policy = policy

    def set_capacity(self, kv_capacity_tokens: int) -> None:
        """Take the capacity of a worker's KV cache; 0 when it is not known."""
        self._capacity_tokens = kv_capacity_tokens or DEFAULT_CAPACITY_TOKENS

    def set_workers(self, worker_ids: frozenset[str]) -> None:
        """Forget workers that are gone: a new incarnation holds nothing."""
        for worker_id in [one for one in self._cached_prefixes if one not in worker_ids]:
            del self._cached_prefixes[worker_id]
        for key in [one for one in self._reading if one[0] not in worker_ids]:
            del self._reading[key]
        self._queues.set_workers(worker_ids)

    def set_zones(self, zones: Mapping[str, str]) -> None:
        """Take the zone of every worker."""
        self._zones = zones

    def waiting_tokens(self, worker_id: str) -> int:
        """Return the tokens that a worker still has to read, as far as is known."""
        return self._queues.waiting_tokens(worker_id)

    def order(
        self,
        request: DecisionRequest,
        in_flight: Callable[[str], int],
        now: float,
        router_zone: str = "",
    ) -> DecisionRequest:
        """Return the request with its candidates in the order of their cost.

        Without its prefill leg, the prompt is to be read by the decode worker.

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
        """
        prompt = request.prompt
        per_stage = {
            stage_candidates.stage: stage_candidates for stage_candidates in request.per_stage
        }
        if prompt is None or Stage.DECODE not in per_stage:
            return request
        self._queues.expire(now)
        decode = per_stage[Stage.DECODE]
        prefill = per_stage.get(Stage.PREFILL)

        def load_cost(worker_id: str) -> float:
            waiting = WAITING_TOKEN_WEIGHT * self.waiting_tokens(worker_id)
            return waiting + STREAM_TOKENS * in_flight(worker_id)

        def request_cost(worker_id: str) -> float:
            is_far = bool(router_zone) and self._zones.get(worker_id, "") != router_zone
            prefers_near = self._policy.near_requests and not request.is_read
            return load_cost(worker_id) + (FAR_REQUEST_TOKENS if is_far and prefers_near else 0.0)

        if prefill is None:
            ordered = self._sorted(decode, request_cost)
            return msgspec.structs.replace(request, per_stage=(ordered,))

        def direct_cost(worker_id: str) -> float:
            tokens = self.waiting_tokens(worker_id) + self._uncached_tokens(worker_id, prompt)
            return DIRECT_READ_WEIGHT * tokens + STREAM_TOKENS * in_flight(worker_id)

        prefill = self._order_prefill(prefill, prompt, now)
        direct = self._sorted(decode, direct_cost)
        if self._is_direct(prefill, direct, direct_cost, prompt, now):
            return msgspec.structs.replace(request, per_stage=(direct,))
        reader_zone = self._zones.get(next(iter(prefill.candidates), ""), "")
        far_cost = FAR_MOVE_WEIGHT * (prompt.own_tokens + prompt.shared_tokens)

        def kv_transfer_cost(worker_id: str) -> float:
            is_far = self._policy.near_pairs and self._zones.get(worker_id, "") != reader_zone
            return load_cost(worker_id) + (far_cost if is_far else 0.0)

        ordered = self._sorted(decode, kv_transfer_cost)
        return msgspec.structs.replace(request, per_stage=(prefill, ordered))

    def decided(self, request: DecisionRequest, reply: DecisionReply, now: float) -> float:
        """Note where a prompt is going to be read, and which workers will hold it.

        Returns
        -------
        float
            Seconds until the prompt is expected to be read; 0 when none is to be read.
        """
        prompt = request.prompt
        if prompt is None or request.attempt_id in self._queues:
            return 0.0
        expected_seconds = 0.0
        stages = [stage_candidates.stage for stage_candidates in request.per_stage]
        for choice in reply.choices:
            if choice.stage is stages[0] and not request.is_read:
                expected_seconds = self._queues.begin(
                    request.attempt_id,
                    choice.worker_id,
                    self._uncached_tokens(choice.worker_id, prompt),
                    now,
                    shows_pace=choice.stage is Stage.PREFILL,
                )
            if choice.stage is Stage.PREFILL and not self._holds(choice.worker_id, prompt):
                self._reading[choice.worker_id, prompt.prefix_key] = request.attempt_id
            if choice.stage in {Stage.PREFILL, Stage.DECODE}:
                self._awaited[request.attempt_id, choice.worker_id] = prompt
                if len(self._awaited) > MAX_AWAITED:
                    self._awaited.popitem(last=False)
        return expected_seconds

    def postponed_seconds(self, request: DecisionRequest, now: float) -> float:
        """Return after how long a request should ask again; 0 when it can be decided now.

        A worker that is reading a shared part does not hold it yet: a second prompt with the same
        part, sent there meanwhile, would have all of it read twice.

        Parameters
        ----------
        request
            A request in the order of :meth:`order`.
        now
            Monotonic seconds.
        """
        prompt = request.prompt
        if not self._policy.postponement:
            return 0.0
        if prompt is None or not request.may_wait or prompt.shared_tokens < LEAST_AWAITED_TOKENS:
            return 0.0
        first = request.per_stage[0]
        if first.stage is not Stage.PREFILL or not first.candidates:
            return 0.0
        attempt_id = self._reading_attempt(first.candidates[0], prompt)
        if attempt_id is None:
            return 0.0
        expected_end = self._queues.expected_end(attempt_id)
        if expected_end is None or now > expected_end + OVERDUE_SECONDS:
            return 0.0
        left = min(expected_end - now, LONGEST_POSTPONEMENT_SECONDS)
        return max(left, SHORTEST_POSTPONEMENT_SECONDS)

    def reported(self, reports: Sequence[AttemptReport], now: float) -> None:
        """Note prompt reads that have ended."""
        for report in reports:
            attempt_id = report.attempt_id.removesuffix(PREFILL_DONE_SUFFIX)
            was_read = attempt_id != report.attempt_id
            self._queues.end(attempt_id, report.worker_id, now, was_read=was_read)
            prompt = self._awaited.pop((attempt_id, report.worker_id), None)
            if prompt is None:
                continue
            if self._reading.get((report.worker_id, prompt.prefix_key)) == attempt_id:
                del self._reading[report.worker_id, prompt.prefix_key]
            if was_read:
                self._will_cache(report.worker_id, prompt)

    def _order_prefill(
        self, stage_candidates: StageCandidates, prompt: PromptShape, now: float
    ) -> StageCandidates:
        holders = {
            one
            for one in stage_candidates.candidates
            if self._holds(one, prompt) or self._reading_attempt(one, prompt) is not None
        }
        if not holders:
            # A former leader, and every router that decides alone, sends it to the first one.
            holders = set(stage_candidates.candidates[:1])
        if not self._policy.prefix_affinity:
            holders = set(stage_candidates.candidates)

        def cost(worker_id: str) -> float:
            tokens = float(prompt.own_tokens)
            if worker_id not in holders:
                tokens += RECOMPUTE_WEIGHT * prompt.shared_tokens
            wait_seconds = self._queues.wait_seconds(worker_id, now)
            return wait_seconds + tokens * self._queues.seconds_per_token(worker_id)

        return self._sorted(stage_candidates, cost)

    def _is_direct(
        self,
        prefill: StageCandidates,
        direct: StageCandidates,
        direct_cost: Callable[[str], float],
        prompt: PromptShape,
        now: float,
    ) -> bool:
        """Whether the first decode candidate reads the prompt at a lower cost than a pair."""
        if not prefill.candidates or not direct.candidates or not self._policy.direct_reads:
            return False
        if self._uncached_tokens(direct.candidates[0], prompt) > MAX_DECODE_SIDE_PREFILL_TOKENS:
            return False
        first = prefill.candidates[0]
        total_tokens = prompt.own_tokens + prompt.shared_tokens
        wait_seconds = self._queues.wait_seconds(first, now)
        pair_cost = (
            wait_seconds / self._queues.typical_seconds_per_token()
            + self._uncached_tokens(first, prompt)
            + KV_TRANSFER_TOKENS
            + MOVED_TOKEN_WEIGHT * total_tokens
        )
        return direct_cost(direct.candidates[0]) < pair_cost

    @staticmethod
    def _sorted(stage_candidates: StageCandidates, cost: Callable[[str], float]) -> StageCandidates:
        """Return a leg by cost; workers that were tried come last, and the order is kept else."""

        def key(worker_id: str) -> tuple[bool, float]:
            return worker_id in stage_candidates.tried, cost(worker_id)

        return msgspec.structs.replace(
            stage_candidates, candidates=tuple(sorted(stage_candidates.candidates, key=key))
        )

    def _holds(self, worker_id: str, prompt: PromptShape) -> bool:
        cached = self._cached_prefixes.get(worker_id)
        return cached is not None and prompt.prefix_key in cached

    def _reading_attempt(self, worker_id: str, prompt: PromptShape) -> str | None:
        """Return the attempt that has a worker read the shared part of a prompt now."""
        attempt_id = self._reading.get((worker_id, prompt.prefix_key))
        return attempt_id if attempt_id is not None and attempt_id in self._queues else None

    def _uncached_tokens(self, worker_id: str, prompt: PromptShape) -> int:
        if self._holds(worker_id, prompt):
            return prompt.own_tokens
        return prompt.own_tokens + prompt.shared_tokens

    def _will_cache(self, worker_id: str, prompt: PromptShape) -> None:
        if prompt.shared_tokens:
            cached = self._cached_prefixes.setdefault(worker_id, _CachedPrefixes())
            capacity_tokens = int(self._capacity_tokens * CAPACITY_SHARE)
            cached.use(prompt.prefix_key, prompt.shared_tokens, capacity_tokens)
