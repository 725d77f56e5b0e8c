"""Choice of the worker that prefills the prompt of one forwarded request, and its KV cache.

The module does no input or output.
"""

from collections.abc import Callable

import msgspec

from orchidpath.forwarding.progress import ForwardProgress
from orchidpath.forwarding.proxy.proxy_effects import KvSource
from orchidpath.forwarding.proxy.proxy_events import ChosenWorker, ProxyPlan


class PendingTransfer(msgspec.Struct, frozen=True):
    """A completed prefill whose KV cache has not been transferred yet.

    The outcome of the prefill worker's attempt is reported only once the KV transfer has succeeded
    or failed.
    """

    chosen: ChosenWorker
    handle: str
    weights_version: int | None

    @property
    def source(self) -> KvSource:
        """Location of the KV cache."""
        return KvSource(self.chosen.address, self.handle)


class PrefillPath:
    """Chooses whether a prefill worker or the decode worker prefills the prompt.

    Parameters
    ----------
    plan
        Properties of the request.
    has_prefill_workers
        Returns whether the service of the request currently has an eligible prefill worker.
    """

    def __init__(self, plan: ProxyPlan, has_prefill_workers: Callable[[], bool]) -> None:
        self._plan = plan
        self._has_prefill_workers = has_prefill_workers
        self._uses_prefill_stage = plan.wants_prefill_stage
        self._transfer_has_failed = False
        self.pending: PendingTransfer | None = None

    def charge_prefill_round(self, progress: ForwardProgress, now: float) -> bool:
        """Return whether the next round begins with a prefill on a prefill worker.

        A repeated prefill is charged to the retry budget by this call.

        Parameters
        ----------
        progress
            Attempts of the request so far.
        now
            Monotonic seconds.
        """
        if not self._uses_prefill_stage or self.pending is not None:
            return False
        return self._has_prefill_workers() and progress.may_prefill(now)

    def may_prefill_on_decode(self, *, has_started: bool) -> bool:
        """Return whether the decode worker may prefill the prompt itself, if still necessary.

        A decode worker admits no other request during a prefill. A long prompt is therefore
        rejected while prefill workers are available, and the caller retries later.

        Parameters
        ----------
        has_started
            Whether part of a response has reached the caller, so that the request can't be
            rejected any more.
        """
        if self.pending is not None or not self._plan.wants_prefill_stage:
            return True
        if self._transfer_has_failed or has_started:
            return True
        if self._plan.prompt_tokens <= self._plan.max_decode_side_prefill_tokens:
            return True
        return not self._has_prefill_workers()

    def disable_prefill_stage(self) -> None:
        """Let the decode worker prefill the prompt from now on."""
        self._uses_prefill_stage = False

    def record_transfer_failure(self) -> None:
        """Record a failed KV transfer, after which the decode worker prefills the prompt itself."""
        self._transfer_has_failed = True
        self._uses_prefill_stage = False

    def discard_cache(self, *, has_workers_left: bool) -> None:
        """Discard a KV cache that was, or may have been, transferred and can't be fetched again.

        Parameters
        ----------
        has_workers_left
            Whether the request may still be dispatched to another worker.
        """
        self.pending = None
        self._uses_prefill_stage = self._plan.wants_prefill_stage and has_workers_left

    def take_pending(self) -> PendingTransfer | None:
        """Return and remove the prefill whose KV cache awaits its transfer, or None."""
        pending, self.pending = self.pending, None
        return pending
