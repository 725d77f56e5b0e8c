"""Updates of the configuration are decoded and committed in turns."""

import asyncio

from orchidpath.control.api.update_turns import UpdateTurns


class Update:
    """An update that holds its turn until it is told to end."""

    def __init__(self, turns: UpdateTurns, size_bytes: int) -> None:
        self.has_turn = False
        self.may_end = asyncio.Event()
        self.task = asyncio.create_task(self._run(turns, size_bytes))

    async def _run(self, turns: UpdateTurns, size_bytes: int) -> None:
        async with turns.turn(size_bytes):
            self.has_turn = True
            await self.may_end.wait()

    async def end(self) -> None:
        self.may_end.set()
        await self.task
        await settle()


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_small_updates_have_their_turns_together_and_large_ones_one_after_another() -> None:
    """Guards against a process that runs out of memory over several large updates."""
    turns = UpdateTurns(limit_bytes=100)
    small = [Update(turns, 10) for _ in range(3)]
    large = [Update(turns, 90) for _ in range(2)]
    await settle()
    assert [update.has_turn for update in (*small, *large)] == [True, True, True, False, False]
    for update in small:
        await update.end()
    assert [update.has_turn for update in large] == [True, False]
    await large[0].end()
    assert large[1].has_turn
    await large[1].end()
    assert turns.granted_bytes == 0


async def test_an_update_above_the_limit_has_a_turn_alone() -> None:
    turns = UpdateTurns(limit_bytes=100)
    large, small = Update(turns, 1000), Update(turns, 1)
    await settle()
    assert (large.has_turn, small.has_turn) == (True, False)
    await large.end()
    await small.end()
    assert turns.granted_bytes == 0


async def test_an_update_that_is_cancelled_gives_its_place_up() -> None:
    turns = UpdateTurns(limit_bytes=100)
    updates = [Update(turns, 90) for _ in range(3)]
    await settle()
    updates[1].task.cancel()
    await settle()
    await updates[0].end()
    assert updates[2].has_turn
    updates[2].task.cancel()
    await asyncio.gather(*(update.task for update in updates), return_exceptions=True)
    assert turns.granted_bytes == 0


async def test_a_turn_that_was_granted_to_a_cancelled_update_is_given_back() -> None:
    turns = UpdateTurns(limit_bytes=100)
    first, second = Update(turns, 90), Update(turns, 90)
    await settle()
    first.may_end.set()
    await first.task
    second.task.cancel()
    await asyncio.gather(second.task, return_exceptions=True)
    assert turns.granted_bytes == 0
