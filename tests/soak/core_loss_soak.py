"""Soak of real processes: machines of the core are lost late, and then a disk of an older voter.

The leader is older than a minute when a machine that does not lead is lost for good. An empty
machine comes at a new address. Later a change is acknowledged; at once an older voter loses its
disk and the other machines of the core lose power. What was acknowledged must come when it is read
back. By hand::

    PYTHONPATH=tests python tests/soak/core_loss_soak.py --seeds 0..49 --jobs 6
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from configuration_soak import (
    CALL_SECONDS,
    CLIENTS_PER_MACHINE,
    HEARTBEAT_SECONDS,
    SETTLE_SECONDS,
    START_SECONDS,
    Soak,
    parse_seeds,
)
from core_loss_days import LossDay, LossKind, MachineLoss, Round, SeedChange, WipedVoter, day_of
from soak_checks import summary
from soak_configurations import content_of
from soak_processes import CONTROL_PORT, GRACE_SECONDS, PROGRAMS, SEED_COUNT, WIRE_PORT, Machine

REPLACEMENT_SECONDS = 2.0
"""Time between the loss of a machine and the start of its successor, or the other way round."""

DOWN_SECONDS = 1.5
"""Time without power."""

ACKNOWLEDGEMENT_SECONDS = 4.0
"""While the core is stable, every change is acknowledged within this time."""

CONTROL_WIRE_PORT = WIRE_PORT + 1


class CoreLossSoak(Soak):
    """One day of losses.

    Parameters
    ----------
    seed
        Determines the configurations, the clients and the choice of seeds.
    day
        The losses.
    folder
        Folder for the settings, data and logs of the processes.
    """

    def __init__(self, seed: int, day: LossDay, folder: Path) -> None:
        spares = sum(len(one.losses) for one in day.rounds)
        machine_count = day.disk_count + day.standby_count
        super().__init__(seed, machine_count, folder, day.disk_count, spares)
        self._day = day
        self._folder = folder
        self._first_seeds = self._machines[0].seeds
        self._clients_per_machine = CLIENTS_PER_MACHINE if day.is_busy else 1
        self._workers_change = day.is_busy

    async def _change_forever(self) -> None:
        if self._day.is_busy:
            await super()._change_forever()

    async def _disturb(self, seconds: float) -> None:
        """Play the rounds of the day, then go on for a time."""
        try:
            for one in self._day.rounds:
                await self._play(one)
        except TimeoutError:
            self.observations.problems.append(f"{self._now:.3f} no machine leads")
        await asyncio.sleep(seconds)

    async def _play(self, one: Round) -> None:
        leader = await self._wait_for_old_leader(one.leader_age_seconds)
        for loss in one.losses:
            await self._replace(loss, leader)
            await asyncio.sleep(one.wait_seconds)
            leader = await self._leader()
        await self._strike(one.wiped, leader)

    # The leader

    async def _wait_for_old_leader(self, seconds: float) -> Machine:
        """Wait until one machine has led for this time, and return it."""
        leader, since = await self._leader(), self._now
        while self._now - since < seconds:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            current = await self._leader()
            if current is not leader:
                leader, since = current, self._now
        return leader

    async def _leader(self) -> Machine:
        """Return the machine that leads, as the machines of the core see it."""
        async with asyncio.timeout(SETTLE_SECONDS):
            while True:
                for machine in self._core():
                    leader = await self._leader_seen_by(machine)
                    if leader is not None:
                        return leader
                await asyncio.sleep(0.1)

    async def _leader_seen_by(self, machine: Machine) -> Machine | None:
        url = f"http://{machine.host}:{CONTROL_PORT}/v1/members"
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return None
        for member in body.get("members", ()):
            if member["node_id"] == body["leader_id"]:
                return self._machine_at(member["address"])
        return None

    def _machine_at(self, address: str) -> Machine | None:
        """Return the machine whose control process has a wire address, unless it is gone."""
        for machine in self._machines:
            if address == f"{machine.host}:{CONTROL_WIRE_PORT}":
                return machine
        return None

    def _core(self) -> list[Machine]:
        """Return the machines with a disk that are not gone, the oldest first."""
        return [machine for machine in self._machines if machine.has_disk]

    # Losses

    async def _replace(self, loss: MachineLoss, leader: Machine) -> None:
        """Lose a machine for good and start an empty one at a new address."""
        followers = [machine for machine in self._core() if machine is not leader]
        lost = followers[loss.position]
        self._note(f"leader is {leader.number}; machine {lost.number} is lost: {loss}")
        if loss.kind is LossKind.PLANNED:
            await self._start_successor(lost, loss.seed_change)
            await asyncio.sleep(REPLACEMENT_SECONDS)
            await self._lose(lost, loss.kind)
        else:
            await self._lose(lost, loss.kind)
            await asyncio.sleep(REPLACEMENT_SECONDS)
            await self._start_successor(lost, loss.seed_change)

    async def _lose(self, lost: Machine, kind: LossKind) -> None:
        self._machines.remove(lost)
        number = {
            LossKind.KILLED: signal.SIGKILL,
            LossKind.PLANNED: signal.SIGTERM,
            LossKind.SILENT: signal.SIGSTOP,
        }[kind]
        if kind is not LossKind.PLANNED:
            lost.disturb_for_good(self._now)
        for program in PROGRAMS:
            lost.send_signal(program, number)
        if kind is LossKind.PLANNED:
            for program in PROGRAMS:
                await lost.wait_until_ended(program, GRACE_SECONDS)
            lost.disturb_for_good(self._now)

    async def _start_successor(self, lost: Machine, seed_change: SeedChange) -> None:
        successor = Machine(
            len(self.observations.machines),
            self._spare_hosts.pop(0),
            self._first_seeds,
            self._folder,
            has_disk=True,
            is_first=False,
        )
        self.observations.machines.append(successor)
        self._machines.append(successor)
        hosts = [machine.host for machine in self._machines if machine is not lost]
        other_seeds = self._random.sample(hosts, min(SEED_COUNT, len(hosts)))
        if seed_change is not SeedChange.NOBODY:
            successor.seeds = other_seeds
        if seed_change is SeedChange.EVERYBODY:
            for machine in self._machines:
                machine.change_seeds(other_seeds)
        for program in PROGRAMS:
            await asyncio.to_thread(successor.start, program)
        await self._wait_until_started(successor)
        self._note(f"machine {successor.number} has started with seeds {successor.seeds}")

    async def _wait_until_started(self, machine: Machine) -> None:
        """Wait until the control process of a machine answers."""
        url = f"http://{machine.host}:{CONTROL_PORT}/health/live"
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    async with self._session.get(url, timeout=timeout):
                        return
                except (aiohttp.ClientError, TimeoutError):
                    await asyncio.sleep(0.05)

    async def _strike(self, wiped_voter: WipedVoter, leader: Machine) -> None:
        """Acknowledge a change, lose a disk and the power of the others, and read it back.

        The disk is that of any machine of the core but the newest.
        """
        older = self._core()[:-1]
        if wiped_voter is WipedVoter.LEADER and leader in older:
            wiped = leader
        else:
            wiped = next(machine for machine in older if machine is not leader)
        began_at = self._now
        async with self._operator_turn:
            sent_at = self._now
            await self._submit(self._source.next(), START_SECONDS)
            acknowledged_at = self._now
            await self._lose_disk_and_power(wiped, self._core())
            self._check_acknowledgement("the change before", sent_at - began_at)
            self._check_acknowledgement("the change", acknowledged_at - sent_at)
            await self._read_back(self._core())

    def _check_acknowledgement(self, change: str, seconds: float) -> None:
        if seconds > ACKNOWLEDGEMENT_SECONDS:
            self.observations.problems.append(
                f"Acks: {change} was acknowledged only after {seconds:.1f} s"
            )

    async def _lose_disk_and_power(self, wiped: Machine, core: Sequence[Machine]) -> None:
        self._note(f"machine {wiped.number} loses its disk, the others of the core lose power")
        for machine in core:
            machine.disturbed.append(self._now)
            for program in PROGRAMS:
                machine.send_signal(program, signal.SIGKILL)
        await asyncio.sleep(DOWN_SECONDS)
        for machine in core:
            for program in PROGRAMS:
                await machine.wait_until_ended(program, GRACE_SECONDS)
        wiped.lose_disk()
        self._name_a_running_seed(wiped)
        for machine in core:
            machine.disturbed.append(self._now)
            for program in PROGRAMS:
                await asyncio.to_thread(machine.start, program)
        self._note("the core has power again")

    def _name_a_running_seed(self, wiped: Machine) -> None:
        """Name the present machines to an empty one if all machines that it names are gone.

        At each start the settings name machines of the operator's list at that time; without one
        of them an empty machine can't find its fleet.
        """
        present = [machine.host for machine in self._machines if machine is not wiped]
        if not set(present) & set(wiped.seeds):
            wiped.seeds = present[:SEED_COUNT]
            self._note(f"machine {wiped.number} now names {wiped.seeds}")

    async def _read_back(self, core: Sequence[Machine]) -> None:
        """Check that every machine of the core returns the newest acknowledged configuration."""
        newest = self._source.document
        documents = await asyncio.gather(
            *(self._read_configuration(machine, newest["version"]) for machine in core)
        )
        for machine, document in zip(core, documents, strict=True):
            if document is None or content_of(document) != content_of(newest):
                version = document["version"] if document is not None else None
                self.observations.problems.append(
                    f"CONFIG: machine {machine.number} reads back version {version}"
                    f" instead of {newest['version']}"
                )
        self._note(f"version {newest['version']} was read back")


class PlayedDay(NamedTuple):
    """What a day has shown: the broken rules, the counts of its run, and its events."""

    seed: int
    problems: list[str]
    counts: dict[str, Any]
    timeline: list[str]


def play_day(seed: int, seconds: float) -> PlayedDay:
    """Play the day of a seed.

    Parameters
    ----------
    seed
        Seed of the day.
    seconds
        Time for which the fleet goes on after the last loss.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = CoreLossSoak(seed, day_of(seed), Path(folder))
        asyncio.run(soak.run(seconds))
        observations = soak.observations
        return PlayedDay(seed, observations.check(), summary(observations), observations.timeline)


def play_days(seeds: Sequence[int], seconds: float, jobs: int) -> Iterator[PlayedDay]:
    """Play days side by side, and return each as soon as it ends.

    Each has a process of its own, so that the clients and workers of one don't delay another's.
    """
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        plays = [pool.submit(play_day, seed, seconds) for seed in seeds]
        for play in as_completed(plays):
            yield play.result()


def main() -> int:
    """Play a range of seeds; print the day, the summary and the problems of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1))
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--jobs", type=int, default=1)
    arguments = parser.parse_args()
    failed = 0
    for played in play_days(arguments.seeds, arguments.seconds, arguments.jobs):
        failed += bool(played.problems)
        lines = [f"seed {played.seed}: {day_of(played.seed)}", json.dumps(played.counts)]
        lines += [*played.problems, *played.timeline] if played.problems else []
        print("\n  ".join(lines), flush=True)
    print(f"{failed} of {len(arguments.seeds)} seeds broke a rule", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
