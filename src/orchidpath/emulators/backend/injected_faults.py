"""Faults that tests and the local fleet inject into an emulated back end."""

from enum import StrEnum

import msgspec


class FaultKind(StrEnum):
    """Kind of an injected fault.

    CRASH, EXPIRE_HANDLES, DRAIN, RESUME and CLEAR (which ends every fault) take effect once. Every
    other fault stays active for ``seconds`` or for the next ``count`` requests, whichever ends
    first, or until it is cleared when both are zero.
    """

    CRASH = "crash"
    GO_DARK = "go_dark"
    """Connections are accepted but requests are not answered, and the back end sends no
    announcements unless ``keep_announcing`` is set. Requests received during the fault are
    processed after it ends."""
    STALL = "stall"
    """A stream pauses after ``after_frames`` content frames for ``seconds``, or until cleared."""
    SLOW = "slow"
    """Work takes ``factor`` times as long."""
    REFUSE_ALL = "refuse_all"
    """Every attempt is refused as overloaded, with the guarantee that it did not run."""
    WRONG_ATTEMPT_ECHO = "wrong_attempt_echo"
    """The response carries the ids of another request and attempt."""
    ANSWER_LATE = "answer_late"
    """The response starts ``delay_seconds`` after the work is done."""
    MISSING_TERMINAL = "missing_terminal"
    """A stream ends cleanly without its terminal frame."""
    SEQUENCE_GAP = "sequence_gap"
    """One content frame of a stream is lost."""
    TRUNCATE = "truncate"
    """The connection is aborted during the response, after the work has started."""
    FAIL_NEXT = "fail_next"
    """The work is done, but the response is a 500 with ``ran=unknown``."""
    LINK_PARTITION = "cut_link"
    """No KV transfer succeeds between this worker and ``worker_id`` (all workers when empty)."""
    SLOW_LINK = "slow_link"
    """The KV transfer with ``worker_id`` takes ``factor`` times as long."""
    EXPIRE_HANDLES = "lapse_handles"
    DRAIN = "drain"
    RESUME = "resume"
    CLEAR = "clear"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault, as it is posted to ``/v1/faults``."""

    kind: FaultKind
    seconds: float = 0.0
    count: int = 0
    factor: float = 1.0
    delay_seconds: float = 0.0
    after_frames: int = 2
    worker_id: str = ""
    keep_announcing: bool = False


class FaultReply(msgspec.Struct, frozen=True, kw_only=True):
    """The active faults; answer of ``POST /v1/faults``."""

    active: tuple[Fault, ...]


class LastingFault:
    """An injected fault with its expiry time and its remaining request count.

    Parameters
    ----------
    fault : Fault
        The fault as it was posted.
    now : float
        Start of the fault, in seconds of a monotonic clock.
    """

    def __init__(self, fault: Fault, now: float) -> None:
        self.fault = fault
        self.ends_at = now + fault.seconds if fault.seconds > 0 else float("inf")
        self.remaining = fault.count if fault.count > 0 else None

    def is_active(self, now: float) -> bool:
        """Return whether the fault has neither expired nor used up its request count."""
        return now < self.ends_at and self.remaining != 0

    def matches(self, kind: FaultKind, peer: str) -> bool:
        """Return whether the fault is of this kind and applies to this peer."""
        return self.fault.kind is kind and self.fault.worker_id in ("", peer)


class FaultBoard:
    """The faults injected into one back end."""

    def __init__(self) -> None:
        self._lasting: list[LastingFault] = []
        self.clear_count = 0

    def add(self, fault: Fault, now: float) -> None:
        """Add a fault; it replaces a fault of the same kind and peer."""
        self._lasting = [
            lasting
            for lasting in self._lasting
            if (lasting.fault.kind, lasting.fault.worker_id) != (fault.kind, fault.worker_id)
        ]
        self._lasting.append(LastingFault(fault, now))

    def clear(self) -> None:
        """End every fault."""
        self._lasting.clear()
        self.clear_count += 1

    def active(self, kind: FaultKind, now: float, peer: str = "") -> Fault | None:
        """Return the active fault of a kind, without counting a request against it."""
        for lasting in self._lasting:
            if lasting.is_active(now) and lasting.matches(kind, peer):
                return lasting.fault
        return None

    def take(self, kind: FaultKind, now: float, peer: str = "") -> Fault | None:
        """Return the active fault of a kind and count one request against it."""
        for lasting in self._lasting:
            if lasting.is_active(now) and lasting.matches(kind, peer):
                if lasting.remaining is not None:
                    lasting.remaining -= 1
                return lasting.fault
        return None

    def factor(self, kind: FaultKind, now: float, peer: str = "") -> float:
        """Return the factor of the active fault of a kind, or 1 if there is none."""
        fault = self.active(kind, now, peer)
        return fault.factor if fault is not None else 1.0

    def list_active(self, now: float) -> tuple[Fault, ...]:
        """Return every active fault."""
        return tuple(lasting.fault for lasting in self._lasting if lasting.is_active(now))
