"""A local fleet of the project's own programs, with the chat interface of its router."""

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from hostile_fleet import RETRY_SECONDS, WAIT_SECONDS

from machine_limits import MACHINE_DESCRIPTORS, MACHINE_MEMORY_BYTES, peak_memory_bytes

FLEET = """
fleet = "crowd"
seed = 1

[[machines]]
name = "a"
zone = "one"
disk = true

[[machines]]
name = "b"
zone = "one"
disk = true

[[machines]]
name = "c"
zone = "one"
disk = true

[[workers]]
name = "read-1"
service = "puzzle"
stage = "prefill"
models = ["puzzle"]

[[workers]]
name = "write-1"
service = "puzzle"
stage = "decode"
models = ["puzzle"]

[[configuration.services]]
name = "puzzle"
kind = "model"
models = ["puzzle"]
prefill_workers = 1
decode_workers = 1

[[configuration.routes]]
name = "verdicts"
service = "puzzle"
model = "puzzle"

[[traffic.streams]]
name = "verdicts"
kind = "model"
model = "puzzle"
rate_per_second = 0.5
tenants = ["schools"]

[traffic.streams.max_tokens]
median = 4
maximum = 8
"""

CHAT_PATH = "/v1/chat/completions"


class ChatFleet:
    """Three machines and two emulated workers, started by the local fleet's runner.

    Parameters
    ----------
    folder
        Folder for the file of the fleet.
    """

    def __init__(self, folder: Path) -> None:
        self._file = folder / "fleet.toml"
        self._log = folder / "log"
        self._runner: subprocess.Popen[bytes] | None = None
        self._roles: dict[int, str] = {}
        self.host = ""
        self.port = 0

    async def start(self) -> None:
        self._file.write_text(FLEET)
        with self._log.open("wb") as log:
            self._runner = subprocess.Popen(
                [sys.executable, "-u", "-m", "orchidpath", "fleet", "run", str(self._file)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        async with asyncio.timeout(WAIT_SECONDS):
            while not self._has_address():
                assert self._runner.poll() is None, self._log.read_text()
                await asyncio.sleep(RETRY_SECONDS)
        self._roles = {
            process_id: role for process_id in self._children() if (role := _role(process_id))
        }
        assert sorted(self._roles.values()) == ["control"] * 3 + ["router"] * 3
        await self.request_until_served()

    async def stop(self) -> None:
        if self._runner is None:
            return
        self._runner.send_signal(signal.SIGINT)
        await asyncio.to_thread(self._runner.wait)

    def assert_unharmed(self) -> None:
        """Check that both programs live within the memory and descriptors of a machine."""
        for process_id, role in self._roles.items():
            assert _role(process_id) == role, f"{role} ended"
            peak_bytes = peak_memory_bytes(process_id)
            assert 0 < peak_bytes < MACHINE_MEMORY_BYTES, f"{role}: {peak_bytes / 1e6:.0f} MB"
            descriptors = len(list(Path(f"/proc/{process_id}/fd").iterdir()))
            assert descriptors < MACHINE_DESCRIPTORS, f"{role}: {descriptors} descriptors"

    async def request_until_served(self) -> None:
        """Send an ordinary chat request until it is answered, as a client does."""
        content = {
            "model": "puzzle",
            "max_tokens": 4,
            "messages": [{"role": "user", "content": "e4"}],
        }
        body = json.dumps(content).encode()
        head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nX-Tenant: schools\r\nConnection: close\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        async with asyncio.timeout(WAIT_SECONDS):
            while not await self._is_served(head.encode() + body):
                await asyncio.sleep(RETRY_SECONDS)

    async def _is_served(self, content: bytes) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            return False
        try:
            writer.write(content)
            line = await reader.readline()
            return line.startswith(b"HTTP/1.1 200 ")
        except OSError:
            return False
        finally:
            writer.close()

    def _has_address(self) -> bool:
        prefix = "callers: http://"
        lines = self._log.read_text().splitlines()
        addresses = [line.removeprefix(prefix) for line in lines if line.startswith(prefix)]
        if not addresses:
            return False
        self.host, _, port = addresses[0].split()[0].rpartition(":")
        self.port = int(port)
        return True

    def _children(self) -> list[int]:
        assert self._runner is not None
        process_id = self._runner.pid
        children = Path(f"/proc/{process_id}/task/{process_id}/children").read_text()
        return [int(child) for child in children.split()]


def _role(process_id: int) -> str:
    """Return which of the deployed programs a process is; empty for any other one."""
    try:
        arguments = Path(f"/proc/{process_id}/cmdline").read_bytes().split(b"\0")
    except OSError:
        return ""
    roles = [role for role in ("router", "control") if role.encode() in arguments]
    return roles[0] if roles else ""


@asynccontextmanager
async def running_chat_fleet(folder: Path) -> AsyncIterator[ChatFleet]:
    fleet = ChatFleet(folder)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
