"""Faults that tests and the local fleet inject into an emulated back end."""

from enum import StrEnum

import msgspec


class FaultKind(StrEnum):
    """What goes wrong.

    Acting at once: CRASH, EXPIRE_HANDLES, DRAIN, RESUME and CLEAR (ends every fault). The others
    last for ``seconds`` or for the next ``count`` requests, or until cleared when both are zero.
    """

    CRASH = "crash"
    GO_DARK = "go_dark"
    """Connections are accepted and never answered; nothing is announced either unless
    ``keep_announcing``. What was received meanwhile is worked on afterwards, late."""
    STALL = "stall"
    """A stream stops after ``after_frames`` content frames for ``seconds``, or until cleared."""
    SLOW = "slow"
    """Work takes ``factor`` times as long."""
    REFUSE_ALL = "refuse_all"
    """Every attempt is refused as overloaded, with the guarantee that it did not run."""
    WRONG_ATTEMPT_ECHO = "wrong_attempt_echo"
    """The answer belongs to another request and attempt."""
    ANSWER_LATE = "answer_late"
    """The work is done and the answer starts ``delay_seconds`` later."""
    MISSING_TERMINAL = "missing_terminal"
    """A stream ends cleanly without its terminal."""
    SEQUENCE_GAP = "sequence_gap"
    """One content frame of a stream is lost."""
    TRUNCATE = "truncate"
    """The connection is cut in the middle of the answer, after the work has started."""
    FAIL_NEXT = "fail_next"
    """The work is done and the answer is a 500 that guarantees nothing."""
    LINK_PARTITION = "cut_link"
    """No KV cache passes between this worker and ``worker_id`` (every worker when empty)."""
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
    """The faults that last at the moment."""

    active: tuple[Fault, ...]


class LastingFault:
    """A fault that lasts, with its end.

    Parameters
    ----------
    fault : Fault
        The fault.
    now : float
        Time at which it began.
    """

    def __init__(self, fault: Fault, now: float) -> None:
        self.fault = fault
        self.ends_at = now + fault.seconds if fault.seconds > 0 else float("inf")
        self.remaining = fault.count if fault.count > 0 else None

    def holds(self, now: float) -> bool:
        """Tell whether the fault still lasts."""
        return now < self.ends_at and self.remaining != 0

    def matches(self, kind: FaultKind, peer: str) -> bool:
        """Tell whether the fault is of a kind and concerns a peer."""
        return self.fault.kind is kind and self.fault.worker_id in ("", peer)


class FaultBoard:
    """The faults that last at the moment."""

    def __init__(self) -> None:
        self._lasting: list[LastingFault] = []
        self.clearings = 0

    def add(self, fault: Fault, now: float) -> None:
        """Let a fault begin; one of the same kind and peer gives way to it."""
        self._lasting = [
            lasting
            for lasting in self._lasting
            if (lasting.fault.kind, lasting.fault.worker_id) != (fault.kind, fault.worker_id)
        ]
        self._lasting.append(LastingFault(fault, now))

    def clear(self) -> None:
        """End every fault."""
        self._lasting.clear()
        self.clearings += 1

    def active(self, kind: FaultKind, now: float, peer: str = "") -> Fault | None:
        """Return a fault that lasts, without counting a request against it."""
        for lasting in self._lasting:
            if lasting.holds(now) and lasting.matches(kind, peer):
                return lasting.fault
        return None

    def take(self, kind: FaultKind, now: float, peer: str = "") -> Fault | None:
        """Return a fault that lasts and count one request against it."""
        for lasting in self._lasting:
            if lasting.holds(now) and lasting.matches(kind, peer):
                if lasting.remaining is not None:
                    lasting.remaining -= 1
                return lasting.fault
        return None

    def factor(self, kind: FaultKind, now: float, peer: str = "") -> float:
        """Return the factor of a fault that lasts, or 1."""
        fault = self.active(kind, now, peer)
        return fault.factor if fault is not None else 1.0

    def list_active(self, now: float) -> tuple[Fault, ...]:
        """Return everything that lasts."""
        return tuple(lasting.fault for lasting in self._lasting if lasting.holds(now))
