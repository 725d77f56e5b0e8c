"""Scripted histories: each safety rule with its guard on and off, and the ordinary path."""

import random
from collections.abc import Callable

import msgspec
import pytest

from orchidpath.consensus.effects import (
    Apply,
    Effect,
    LeadershipChanged,
    PersistEntries,
    PersistHardState,
    PersistSnapshot,
    Send,
)
from orchidpath.consensus.errors import (
    CompactionError,
    InvalidMembershipError,
    LearnerNotCaughtUpError,
    MembershipChangePendingError,
    NotLeaderError,
    ProtocolViolationError,
)
from orchidpath.consensus.log import ReplicaLog
from orchidpath.consensus.raft_core import RaftCore
from orchidpath.consensus.raft_messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
)
from orchidpath.consensus.types import (
    EntryKind,
    Guard,
    HardState,
    LogEntry,
    Membership,
    RaftSettings,
    RestoredState,
    Role,
)

SETTINGS = RaftSettings(snapshot_chunk_bytes=10, max_batch_bytes=100, max_in_flight_entries=20)
Filter = Callable[[str, str, RaftMessage], bool]


def membership(voters: str, learners: str = "") -> Membership:
    return Membership(tuple(voters), tuple(learners), {n: f"{n}:1" for n in voters + learners})


class Group:
    """Replicas whose messages are delivered when the test says so."""

    def __init__(self, voters: str = "abc", joining: str = "", off: Guard | None = None) -> None:
        self.guards = frozenset({off}) if off else frozenset()
        self.outbox: list[tuple[str, str, RaftMessage]] = []
        self.applied: dict[str, list[LogEntry]] = {}
        self.logs: dict[str, ReplicaLog] = {}
        self.hard_states: dict[str, HardState] = {}
        self.cores: dict[str, RaftCore] = {}
        for name in voters + joining:
            self.logs[name] = ReplicaLog(None, [])
            self.hard_states[name] = HardState()
            self.start(name, 0.0, membership(voters) if name in voters else None)

    def start(self, name: str, now: float, bootstrap: Membership | None = None) -> RaftCore:
        log = self.logs[name]
        entries = log.entries_between(log.snapshot_index + 1, log.last_index)
        restored = RestoredState(self.hard_states[name], log.snapshot, entries)
        self.applied[name] = []
        self.cores[name] = RaftCore(
            name, SETTINGS, restored, bootstrap, now, random.Random(f"{name} {now}"), self.guards
        )
        self.run(name, self.cores[name].tick(now))
        return self.cores[name]

    def run(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.outbox.append((name, effect.to, effect.message))
            elif isinstance(effect, Apply):
                self.applied[name].append(effect.entry)
            elif isinstance(effect, PersistHardState):
                self.hard_states[name] = effect.hard_state
            elif isinstance(effect, PersistSnapshot):
                self.logs[name].install(effect.snapshot)
            elif isinstance(effect, PersistEntries):
                if effect.truncate_from is not None:
                    self.logs[name].truncate_from(effect.truncate_from)
                self.logs[name].append(effect.entries)

    def tick(self, name: str, now: float) -> None:
        self.run(name, self.cores[name].tick(now))

    def deliver(self, now: float, allow: Filter = lambda *_: True, rounds: int = 50) -> int:
        """Deliver until nothing is left; return the count of rounds."""
        for done in range(rounds):
            if not self.outbox:
                return done
            batch, self.outbox = self.outbox, []
            for sender, receiver, message in batch:
                if receiver in self.cores and allow(sender, receiver, message):
                    self.run(receiver, self.cores[receiver].receive(message, now))
        return rounds

    def role(self, name: str) -> Role:
        return self.cores[name].role

    def elect(self, name: str, now: float) -> RaftCore:
        """Elect a replica in silence; the caller leaves enough of it."""
        self.cores[name]._replica.election_deadline = now
        self.tick(name, now)
        self.deliver(now)
        assert self.cores[name].role is Role.LEADER
        return self.cores[name]

    def propose(self, name: str, count: int, now: float) -> list[int]:
        indexes, effects = self.cores[name].propose([b"x%d" % n for n in range(count)], now)
        self.run(name, effects)
        return indexes

    def change(self, name: str, wanted: Membership, now: float) -> None:
        _, effects = self.cores[name].propose_membership(wanted, now)
        self.run(name, effects)


def test_a_leader_commits_and_the_followers_apply() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    assert group.propose("a", 3, 2.1) == [3, 4, 5]
    group.deliver(2.1)
    group.tick("a", 2.2)
    group.deliver(2.2)
    assert leader.commit_index == 5
    assert group.applied["a"] == group.applied["b"] == group.applied["c"]
    assert [leader.match_index(n) for n in "abc"] == [5, 5, 5]
    with pytest.raises(NotLeaderError) as refused:
        group.cores["b"].propose([b"x"], 2.2)
    assert refused.value.leader_id == "a"


def test_one_voter_leads_alone_and_persists_before_it_applies() -> None:
    group = Group("a")
    group.elect("a", 2.0)
    _, effects = group.cores["a"].propose([b"x"], 2.0)
    assert [type(effect) for effect in effects] == [PersistEntries, Apply]
    # Even after a long pause: nobody else can have been elected.
    assert group.cores["a"].has_lease(60.0)


def test_a_vote_is_durable_before_it_is_answered() -> None:
    group = Group()
    effects = group.cores["b"].receive(RequestVote("a", 5, False, 9, 4), 2.0)
    kinds = [type(effect) for effect in effects if not isinstance(effect, LeadershipChanged)]
    assert kinds == [PersistHardState, PersistHardState, Send]
    assert group.cores["b"].receive(RequestVote("c", 5, False, 9, 4), 2.0) == [
        Send("c", RequestVoteReply("b", 5, False, granted=False))
    ]


@pytest.mark.parametrize(("off", "rises"), [(None, False), (Guard.PRE_VOTE, True)])
def test_an_isolated_follower_keeps_its_term(off: Guard | None, rises: bool) -> None:
    group = Group(off=off)
    group.elect("a", 2.0)
    term = group.cores["c"].term
    for step in range(30):
        group.tick("c", 4.0 + step * 0.5)
    assert (group.cores["c"].term > term) is rises


@pytest.mark.parametrize(
    ("off", "role"), [(None, Role.FOLLOWER), (Guard.CHECK_QUORUM, Role.LEADER)]
)
def test_a_leader_without_a_majority_steps_down(off: Guard | None, role: Role) -> None:
    group = Group(off=off)
    leader = group.elect("a", 2.0)
    for step in range(15):
        group.tick("a", 2.0 + step * 0.1)
    assert leader.role is role


@pytest.mark.parametrize("off", [None, Guard.WAKE_STEP_DOWN])
def test_a_leader_that_wakes_takes_no_proposal(off: Guard | None) -> None:
    group = Group(off=off)
    leader = group.elect("a", 2.0)
    assert leader.has_lease(2.2)
    assert not leader.has_lease(2.6)
    if off is not None:
        assert leader.propose([b"x"], 2.6)[0] == [3]
        return
    with pytest.raises(NotLeaderError):
        leader.propose([b"x"], 2.6)


@pytest.mark.parametrize(("off", "granted"), [(None, False), (Guard.LEASE_VOTE_REFUSAL, True)])
@pytest.mark.parametrize("pre_vote", [True, False])
def test_a_follower_that_hears_a_leader_gives_no_vote(
    off: Guard | None, granted: bool, pre_vote: bool
) -> None:
    group = Group(off=off)
    group.elect("a", 2.0)
    term = group.cores["b"].term
    request = RequestVote("c", term + 1, pre_vote, 2, term)
    group.outbox.clear()
    group.run("b", group.cores["b"].receive(request, 2.5))
    [(_, _, reply)] = group.outbox
    assert isinstance(reply, RequestVoteReply)
    assert reply.granted is granted
    if not granted:
        assert group.cores["b"].term == term


@pytest.mark.parametrize("off", [None, Guard.LEASE_VOTE_REFUSAL])
def test_a_leader_with_a_majority_is_not_deposed_by_a_request(off: Guard | None) -> None:
    group = Group(off=off)
    leader = group.elect("a", 2.0)
    leader.receive(RequestVote("c", leader.term + 1, False, 9, leader.term), 2.1)
    assert (leader.role is Role.LEADER) is (off is None)


@pytest.mark.parametrize("off", [None, Guard.RESTART_VOTE_DELAY])
def test_a_lease_outlives_the_restart_of_a_follower(off: Guard | None) -> None:
    """The leader's lease rests on b; b restarts and is asked for its vote by c."""
    group = Group(off=off)
    leader = group.elect("a", 2.0)
    group.propose("a", 1, 3.0 - 0.9)
    group.deliver(2.1)
    group.tick("a", 2.2)
    group.deliver(2.2)
    group.start("b", 2.25)
    request = RequestVote("c", leader.term + 1, False, 3, leader.term)
    group.run("b", group.cores["b"].receive(request, 2.3))
    voted = group.hard_states["b"].voted_for == "c"
    assert leader.has_lease(2.3)
    assert voted is (off is not None)
    group.run("b", group.cores["b"].receive(request, 2.9))
    assert group.hard_states["b"].voted_for == "c"


def restart_all(group: Group, now: float) -> None:
    """Lose every process at once, and whatever was on its way."""
    group.outbox.clear()
    for name in tuple(group.cores):
        group.start(name, now)


def test_a_group_that_restarts_together_elects_without_the_wait() -> None:
    group = Group()
    group.elect("a", 2.0)
    group.propose("a", 3, 2.1)
    group.deliver(2.1)
    restart_all(group, 5.0)
    group.tick("b", 5.2)
    group.deliver(5.2)
    assert group.role("b") is Role.LEADER
    assert group.cores["b"].has_lease(5.2)


def test_a_restarted_group_with_a_missing_voter_waits() -> None:
    group = Group()
    group.elect("a", 2.0)
    group.deliver(2.1)
    restart_all(group, 5.0)
    del group.cores["a"]
    group.tick("b", 5.2)
    group.deliver(5.2)
    assert group.role("b") is Role.PRE_CANDIDATE
    group.elect("b", 5.7)


def test_restarted_followers_leave_a_living_leader_its_lease() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    group.tick("a", 2.2)
    group.deliver(2.2)
    group.start("b", 2.25)
    group.start("c", 2.25)
    group.tick("b", 2.45)
    group.tick("c", 2.45)
    group.deliver(2.45)
    assert leader.role is Role.LEADER
    assert leader.has_lease(2.5)
    assert Role.LEADER not in {group.role("b"), group.role("c")}


@pytest.mark.parametrize("off", [None, Guard.START_ID_MATCH])
def test_what_a_voter_said_to_an_earlier_run_counts_for_nothing(off: Guard | None) -> None:
    """a tells c that it does not lead, is elected, and c restarts before it gets that word."""
    group = Group(off=off)
    group.elect("a", 2.0)
    group.deliver(2.1)
    restart_all(group, 5.0)
    group.tick("c", 5.2)
    group.deliver(5.2, lambda _, receiver, __: receiver == "a", rounds=1)
    [(_, _, late_word)] = group.outbox
    assert isinstance(late_word, RequestVoteReply)
    group.outbox.clear()
    leader = group.elect("a", 5.7)
    group.tick("a", 5.8)
    group.deliver(5.8)
    group.start("b", 5.85)
    group.start("c", 5.85)
    group.outbox.clear()
    group.tick("c", 6.02)
    late = msgspec.structs.replace(late_word, term=group.cores["c"].term)
    group.run("c", group.cores["c"].receive(late, 6.03))
    group.deliver(6.04, lambda sender, receiver, _: "a" not in (sender, receiver))
    assert leader.has_lease(6.05)
    assert (group.role("c") is Role.LEADER) is (off is not None)


def test_an_answer_from_before_an_election_harms_no_lease() -> None:
    """c has the word of all, a is elected meanwhile: whoever holds a's entry refuses c."""
    group = Group()
    group.elect("a", 2.0)
    group.deliver(2.1)
    group.hard_states["c"] = HardState(term=group.cores["a"].term + 1)
    restart_all(group, 5.0)
    group.tick("c", 5.2)
    group.deliver(5.2, rounds=2)
    [request] = [message for _, to, message in group.outbox if to == "b"]
    assert isinstance(request, RequestVote)
    assert request.nobody_leads
    group.outbox.clear()
    del group.cores["c"]
    leader = group.elect("a", 5.7)
    group.start("b", 5.75)
    group.run("b", group.cores["b"].receive(request, 5.8))
    assert leader.has_lease(5.8)
    assert group.hard_states["b"].voted_for != "c"


@pytest.mark.parametrize("off", [None, Guard.LAST_LEADER_ANSWERS])
def test_a_leader_that_removed_itself_keeps_its_lease(off: Guard | None) -> None:
    """a's successors restart before a knows that its removal is committed."""
    group = Group(off=off)
    leader = group.elect("a", 2.0)
    group.tick("a", 2.1)
    group.deliver(2.1)
    group.change("a", membership("bc"), 2.2)
    group.deliver(2.2, lambda sender, _, __: sender == "a")
    group.outbox.clear()
    group.tick("a", 2.25)
    assert leader.has_lease(2.3)
    group.start("b", 2.3)
    group.start("c", 2.3)
    group.outbox.clear()
    group.tick("c", 2.46)
    group.deliver(2.46, lambda sender, receiver, _: "a" not in (sender, receiver))
    assert leader.has_lease(2.46)
    assert (group.role("c") is Role.LEADER) is (off is not None)


@pytest.mark.parametrize("off", [None, Guard.LEASE_FROM_SEND_TIME])
def test_a_late_acknowledgement_renews_no_lease(off: Guard | None) -> None:
    group = Group(off=off)
    leader = group.elect("a", 2.0)
    group.tick("a", 2.1)
    group.deliver(2.1, lambda _, receiver, __: receiver != "a")
    for step in range(1, 5):
        group.tick("a", 2.1 + step * 0.1)
    late = AppendEntriesReply("b", leader.term, True, sent_at=2.1, prev_index=2, match_index=2)
    leader.receive(late, 2.62)
    assert leader.has_lease(2.62) is (off is not None)


@pytest.mark.parametrize("off", [None, Guard.COMMIT_ONLY_CURRENT_TERM])
def test_an_entry_of_an_earlier_term_does_not_commit_by_counting(off: Guard | None) -> None:
    """Figure 8 of the Raft paper: such an entry can still be overwritten."""
    group = Group(off=off)
    group.hard_states["a"] = HardState(term=3)
    group.logs["a"].append([LogEntry(2, 2, EntryKind.COMMAND, b"old")])
    leader = group.start("a", 0.0)
    group.cores["a"]._replica.election_deadline = 2.0
    group.tick("a", 2.0)
    for pre_vote in (True, False):
        leader.receive(RequestVoteReply("b", 4, pre_vote, granted=True), 2.0)
    assert leader.role is Role.LEADER
    ack = AppendEntriesReply("b", 4, True, sent_at=2.0, prev_index=1, match_index=2)
    leader.receive(ack, 2.0)
    assert leader.commit_index == (0 if off is None else 2)
    assert not leader.has_lease(2.0) or off is not None
    leader.receive(msgspec.structs.replace(ack, match_index=3), 2.0)
    assert leader.commit_index == 3
    assert leader.has_lease(2.0)


def test_a_second_leader_in_a_term_is_a_violation() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    with pytest.raises(ProtocolViolationError):
        leader.receive(AppendEntries("b", leader.term, 0, 0, 0, 0.0), 2.0)


def test_conflicting_entries_are_skipped_a_term_at_a_time() -> None:
    group = Group()
    other = [LogEntry(n, 2 + n // 50, EntryKind.COMMAND, b"lost") for n in range(2, 150)]
    group.hard_states["c"] = HardState(term=5)
    group.logs["c"].append(other)
    group.start("c", 0.0)
    group.hard_states["a"] = HardState(term=6)
    group.logs["a"].append([LogEntry(2, 6, EntryKind.COMMAND, b"kept")])
    group.start("a", 0.0)
    group.cores["a"]._replica.election_deadline = 2.0
    group.tick("a", 2.0)
    rounds = group.deliver(2.0)
    assert group.cores["c"].last_index == 3
    assert group.logs["c"].entries_between(2, 3) == group.logs["a"].entries_between(2, 3)
    assert rounds < 14


def test_appends_are_pipelined_in_batches_within_the_window() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    group.tick("a", 2.1)
    group.deliver(2.1)
    _, effects = leader.propose([bytes(30)] * 50, 2.1)
    to_b = [e.message for e in effects if isinstance(e, Send) and e.to == "b"]
    sizes = [len(m.entries) for m in to_b if isinstance(m, AppendEntries)]
    assert sizes == [3, 3, 3, 3, 3, 3, 2]
    group.run("a", effects)
    group.deliver(2.1)
    assert leader.commit_index == 52


def test_lost_appends_are_sent_again() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    group.propose("a", 5, 2.1)
    group.outbox.clear()
    group.propose("a", 1, 2.15)
    group.deliver(2.15)
    assert leader.commit_index == 8


def test_a_snapshot_reaches_a_learner_in_chunks_and_it_becomes_a_voter() -> None:
    group = Group("abc", joining="d")
    leader = group.elect("a", 2.0)
    group.propose("a", 30, 2.1)
    group.deliver(2.1)
    group.run("a", leader.compact(b"state of the machine at 20", 20, 2.1))
    with pytest.raises(CompactionError):
        leader.compact(b"again", 20, 2.1)
    with pytest.raises(InvalidMembershipError):
        leader.propose_membership(membership("abcd"), 2.1)
    group.change("a", membership("abc", "d"), 2.1)
    with pytest.raises(MembershipChangePendingError):
        leader.propose_membership(membership("abc"), 2.1)
    group.deliver(2.1, lambda _, receiver, __: receiver != "d")
    with pytest.raises(LearnerNotCaughtUpError):
        leader.propose_membership(membership("abcd"), 2.1)
    chunks: list[int] = []

    def count(_: str, __: str, message: RaftMessage) -> bool:
        if isinstance(message, InstallSnapshot):
            chunks.append(message.offset)
        return True

    group.tick("a", 2.2)
    group.deliver(2.2, count)
    assert chunks == [0, 10, 20]
    assert group.role("d") is Role.LEARNER
    assert leader.match_index("d") == leader.last_index
    group.change("a", membership("abcd"), 2.2)
    group.deliver(2.2)
    assert leader.membership_committed
    assert group.role("d") is Role.FOLLOWER
    restarted = group.start("d", 2.3)
    assert restarted.membership.voters == tuple("abcd")


def test_a_learner_counts_for_no_majority() -> None:
    group = Group("abc", joining="d")
    leader = group.elect("a", 2.0)
    group.change("a", membership("abc", "d"), 2.1)
    group.deliver(2.1)
    group.propose("a", 1, 2.15)
    group.deliver(2.15, lambda _, receiver, __: receiver in "ad")
    assert leader.match_index("d") == leader.last_index
    assert leader.commit_index < leader.last_index


@pytest.mark.parametrize("off", [None, Guard.SINGLE_MEMBERSHIP_CHANGE])
def test_two_voters_do_not_change_at_once(off: Guard | None) -> None:
    group = Group("abcde", off=off)
    leader = group.elect("a", 2.0)
    if off is not None:
        group.change("a", membership("abc"), 2.1)
        return
    with pytest.raises(InvalidMembershipError):
        leader.propose_membership(membership("abc"), 2.1)


def test_no_change_before_an_entry_of_the_term_is_committed() -> None:
    group = Group()
    leader = group.cores["a"]
    leader._replica.election_deadline = 2.0
    group.tick("a", 2.0)
    group.deliver(2.0, lambda _, __, message: not isinstance(message, AppendEntries))
    assert leader.role is Role.LEADER
    with pytest.raises(MembershipChangePendingError):
        leader.propose_membership(membership("ab"), 2.0)


def test_a_leader_that_is_removed_leads_until_that_is_committed() -> None:
    group = Group()
    group.elect("a", 2.0)
    group.change("a", membership("bc"), 2.1)
    assert group.role("a") is Role.LEADER
    group.deliver(2.1)
    assert group.role("a") is Role.LEARNER
    assert group.cores["b"].membership_committed
    group.elect("b", 4.0)


def test_a_group_that_grew_to_two_can_elect_before_the_second_knows() -> None:
    group = Group("a", joining="b")
    group.elect("a", 2.0)
    group.change("a", membership("a", "b"), 2.1)
    group.deliver(2.1)
    group.change("a", membership("ab"), 2.2)
    group.outbox.clear()
    group.start("a", 2.3)
    group.elect("a", 4.0)
    assert group.cores["b"].membership.voters == ("a", "b")


def test_a_read_without_a_lease_waits_for_a_majority() -> None:
    group = Group()
    leader = group.elect("a", 2.0)
    for step in range(1, 6):
        group.tick("a", 2.0 + step * 0.1)
    group.outbox.clear()
    ticket = leader.read_barrier(2.55)
    assert leader.next_deadline(2.55) == 2.55
    assert not leader.read_is_ready(ticket, 2.55)
    group.tick("a", 2.56)
    group.deliver(2.57)
    assert leader.read_is_ready(ticket, 2.57)
    leader.receive(RequestVoteReply("b", 99, False, granted=False), 2.6)
    with pytest.raises(NotLeaderError):
        leader.read_is_ready(ticket, 2.6)


def test_settings_refuse_a_lease_that_outlives_the_promise() -> None:
    with pytest.raises(ValueError, match="leader_lease_seconds"):
        RaftSettings(leader_lease_seconds=0.58)


def test_messages_are_one_tagged_union() -> None:
    decoder: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)
    entry = LogEntry(1, 1, EntryKind.MEMBERSHIP, b"x")
    message = AppendEntries("a", 1, 0, 0, 0, 1.5, [entry])
    assert decoder.decode(msgspec.msgpack.encode(message)) == message
