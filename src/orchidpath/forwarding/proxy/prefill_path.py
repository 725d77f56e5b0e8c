"""Where the prompt of one forwarded request is prefilled, and its KV cache; pure."""

from collections.abc import Callable

import msgspec

from orchidpath.forwarding.progress import ForwardProgress
from orchidpath.forwarding.proxy.proxy_effects import KvSource
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker, ProxyPlan


class PendingTransfer(msgspec.Struct, frozen=True):
    """A prefill that is complete, and its KV cache.

    How the attempt ended for its worker is reported once the cache was transferred, or was not.
    """

    chosen: ChosenWorker
    handle: str
    weights_version: int | None

    @property
    def source(self) -> KvSource:
        """Where the KV cache is."""
        return KvSource(self.chosen.address, self.handle)


class PrefillPath:
    """Chooses between a prefill worker and the decode worker itself.

    Parameters
    ----------
    plan
        The request.
    has_prefill_workers
        Tells whether its service has an eligible prefill worker now.
    """

    def __init__(self, plan: ProxyPlan, has_prefill_workers: Callable[[], bool]) -> None:
        self._plan = plan
        self._has_prefill_workers = has_prefill_workers
        self._uses_prefill_stage = plan.wants_prefill_stage
        self._transfer_has_failed = False
        self.pending: PendingTransfer | None = None

    def begins_round(self, progress: ForwardProgress, now: float) -> bool:
        """Whether the next round begins with a prefill on a worker of its own; pays for it.

        Parameters
        ----------
        progress
            What the request has spent.
        now
            Monotonic seconds.
        """
        if not self._uses_prefill_stage or self.pending is not None:
            return False
        return self._has_prefill_workers() and progress.may_prefill(now)

    def may_prefill_on_decode(self, *, has_started: bool) -> bool:
        """Whether a decode worker may prefill by itself, if that still has to be done.

        Nothing else is taken up there meanwhile, so a long prompt is refused as long as prefill
        workers are there: the caller comes back.

        Parameters
        ----------
        has_started
            Whether a part of an answer has reached the caller, so that it can't be refused.
        """
        if self.pending is not None or not self._plan.wants_prefill_stage:
            return True
        if self._transfer_has_failed or has_started:
            return True
        if self._plan.prompt_tokens <= self._plan.max_decode_side_prefill_tokens:
            return True
        return not self._has_prefill_workers()

    def leave_to_decode(self) -> None:
        """Have the decode worker prefill from now on."""
        self._uses_prefill_stage = False

    def transfer_failed(self) -> None:
        """Note that the KV cache could not be transferred: the decode worker prefills itself."""
        self._transfer_has_failed = True
        self._uses_prefill_stage = False

    def cache_lost(self, *, has_workers_left: bool) -> None:
        """Forget a KV cache that was transferred, or may have been: it is gone.

        Parameters
        ----------
        has_workers_left
            Whether the request may still reach another worker.
        """
        self.pending = None
        self._uses_prefill_stage = self._plan.wants_prefill_stage and has_workers_left

    def take_pending(self) -> PendingTransfer | None:
        """Return the KV cache that waits for its transfer, and forget it."""
        pending, self.pending = self.pending, None
        return pending
