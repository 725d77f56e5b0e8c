"""A configuration moves a route to another service and no longer lists the old service."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Fleet, Outcome, Work, Worker, document, main, route, service

PREFILL_SECONDS = 1.0
"""Time of a prefill: reading, and the wait behind other prompts."""
REQUESTS = 24
LOSS_SLACK_SECONDS = 0.2
"""`loss_slack_ms` of the deployment."""


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Return whether the fleet cut off no more requests around the change than at other times.

    Without the disruption, the change moves the route in the same way, but lists both services.
    """
    workers = [
        Worker(fleet, f"i-{name}-{stage}{number}", name, stage)
        for name in ("old", "new")
        for stage in ("prefill", "decode")
        for number in range(2)
    ]
    for worker in workers:
        worker.serve = lambda work, worker=worker: serve(worker, work)
    old, new = service("old", is_model=True), service("new", is_model=True)
    await fleet.start(document(2, [advice("old")], [old, new]), workers)
    await fleet.wait_until_served("/advice/x", prompt(0))
    before = await send_together(fleet, 1)
    await asyncio.sleep(3.5)
    sending = asyncio.create_task(send_together(fleet, 2))
    await asyncio.sleep(PREFILL_SECONDS / 3)
    services = [new] if trouble else [old, new]
    acknowledged_at = await fleet.put_config(document(3, [advice("new")], services), 2)
    during = await sending
    await asyncio.sleep(3.5)
    after = await send_together(fleet, 3)
    fleet.record.say(f"version 3 is acknowledged at {acknowledged_at:.3f}")
    cut = {}
    for name, outcomes in (("before", before), ("during", during), ("after", after)):
        cut[name] = [
            outcome
            for outcome in outcomes
            if outcome.status is None and outcome.ended_at - outcome.sent_at > LOSS_SLACK_SECONDS
        ]
        statuses = dict(Counter(str(outcome.status) for outcome in outcomes))
        fleet.record.say(f"{name} the change: answers {statuses}, cut off {len(cut[name])}")
    others = len(cut["before"]) + len(cut["after"])
    return len(cut["during"]) <= 3 * others


async def serve(worker: Worker, work: Work) -> None:
    if work.is_prefill:
        await asyncio.sleep(PREFILL_SECONDS)
        worker.answer_prefill(work)
        return
    worker.run(work)
    await asyncio.sleep(0.05)
    worker.answer_success(work)


def advice(target: str) -> dict[str, object]:
    return route(
        "advice",
        "/advice/",
        target,
        route_type="streaming",
        target_gap_ms=300,
        sticky_sessions=True,
    )


def prompt(number: int) -> dict[str, str]:
    return {
        "X-Model": "m",
        "X-Token-Usage": "9190,10",
        "X-Prefix-Hash": f"{number:08x}:6300,{number + 65536:08x}:2890",
    }


async def send_together(fleet: Fleet, part: int) -> list[Outcome]:
    calls = [
        fleet.request("/advice/x", prompt(1000 * part + number), machine=number % 3)
        for number in range(REQUESTS)
    ]
    return list(await asyncio.gather(*calls))


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
