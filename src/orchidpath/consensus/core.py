"""The consensus state machine of one replica: no input or output, no clock."""

import random as random_module
from collections.abc import Sequence

from orchidpath.consensus.effects import Effect
from orchidpath.consensus.messages import RaftMessage
from orchidpath.consensus.types import (
    Guard,
    Membership,
    RaftSettings,
    ReadTicket,
    RestoredState,
    Role,
)


class RaftCore:
    """One replica of a Raft group."""

    def __init__(
        self,
        node_id: str,
        settings: RaftSettings,
        restored: RestoredState,
        bootstrap: Membership | None,
        now: float,
        random: random_module.Random,
        disabled_guards: frozenset[Guard] = frozenset(),
    ) -> None:
        raise NotImplementedError

    @property
    def role(self) -> Role:
        raise NotImplementedError

    @property
    def term(self) -> int:
        raise NotImplementedError

    @property
    def leader_id(self) -> str | None:
        raise NotImplementedError

    @property
    def commit_index(self) -> int:
        raise NotImplementedError

    @property
    def applied_index(self) -> int:
        raise NotImplementedError

    @property
    def last_index(self) -> int:
        raise NotImplementedError

    @property
    def snapshot_index(self) -> int:
        raise NotImplementedError

    @property
    def membership(self) -> Membership:
        raise NotImplementedError

    def tick(self, now: float) -> list[Effect]:
        raise NotImplementedError

    def receive(self, message: RaftMessage, now: float) -> list[Effect]:
        raise NotImplementedError

    def propose(self, payloads: Sequence[bytes], now: float) -> tuple[list[int], list[Effect]]:
        raise NotImplementedError

    def propose_membership(self, membership: Membership, now: float) -> tuple[int, list[Effect]]:
        raise NotImplementedError

    def has_lease(self, now: float) -> bool:
        raise NotImplementedError

    def read_barrier(self, now: float) -> ReadTicket:
        raise NotImplementedError

    def read_is_ready(self, ticket: ReadTicket, now: float) -> bool:
        raise NotImplementedError

    def compact(self, snapshot_data: bytes, at_index: int, now: float) -> list[Effect]:
        raise NotImplementedError

    def next_deadline(self, now: float) -> float:
        raise NotImplementedError

    def match_index(self, node: str) -> int:
        raise NotImplementedError
