"""A configuration whose version is a date and time with microseconds, of 20 digits."""

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Fleet, Worker, call, document, main, route, service

DATE_VERSION = 20261204093000123456
"""2026-12-04 09:30:00.123456."""
SMALL_VERSION = 20261204
RESEND_SECONDS = 60.0
"""The operator sends its order again, unchanged, for this time or until a clear answer."""
LONGEST_PAUSE_SECONDS = 2.0
READ_BACK_SECONDS = 3.0
"""`contact_ms` of the deployment."""
CLEAR_STATUSES = (200, 400, 409, 412, 413, 422)


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Return whether the programs of the core stayed up.

    The rule counts a machine whose programs end by themselves three times, and is broken if that
    is so on two machines, which are more than half of the core.
    """
    worker = Worker(fleet, "i-board", "lauad")
    routes, services = [route("board", "/board/", "lauad")], [service("lauad")]
    await fleet.start(document(2, routes, services), [worker])
    await fleet.wait_until_served("/board/x")
    platform = asyncio.create_task(fleet.restart_ended_programs())
    version = DATE_VERSION if trouble else SMALL_VERSION
    answer = await send_until_clear(fleet, document(version, routes, services), 2)
    fleet.record.say(f"answer to version {version}: {answer}")
    read = await read_back(fleet)
    fleet.record.say(f"version read back afterwards, within {READ_BACK_SECONDS} s: {read}")
    platform.cancel()
    ends = Counter(number for number, _, _ in fleet.own_ends)
    fleet.record.say(f"ends of programs by themselves, by machine: {dict(sorted(ends.items()))}")
    programs = Counter((program, code) for _, program, code in fleet.own_ends)
    fleet.record.say(f"by program and exit code: {dict(programs)}")
    return sum(count >= 3 for count in ends.values()) < 2


async def send_until_clear(fleet: Fleet, order: dict[str, Any], match: int) -> int | None:
    """Send an order as an operator does: to one node after another, with a growing pause."""
    body = json.dumps(order).encode()
    headers = {"If-Match": str(match), "Content-Type": "application/json"}
    give_up_at = fleet.record.now() + RESEND_SECONDS
    pause_seconds = 0.1
    number = 0
    while fleet.record.now() < give_up_at:
        host = fleet.hosts[number % len(fleet.hosts)]
        answer = await call(host, fleet.control_port, "PUT", "/config", headers, body)
        status = answer.status if answer is not None else None
        fleet.record.write(f"operator: PUT /config at machine {number % 3}: {status}")
        if status in CLEAR_STATUSES:
            return status
        number += 1
        await asyncio.sleep(pause_seconds)
        pause_seconds = min(1.5 * pause_seconds, LONGEST_PAUSE_SECONDS)
    return None


async def read_back(fleet: Fleet) -> int | None:
    """Read the configuration again and again, and return the version that comes."""
    give_up_at = fleet.record.now() + READ_BACK_SECONDS
    while fleet.record.now() < give_up_at:
        answer = await fleet.control_call("GET", "/config")
        if answer is not None and answer.status == 200:
            return int(json.loads(answer.body)["version"])
        await asyncio.sleep(0.2)
    return None


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
