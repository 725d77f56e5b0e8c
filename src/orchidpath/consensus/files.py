"""File operations for the storage, on the real file system or in memory for simulations."""

import errno
import fcntl
import os
import random as random_module
from abc import ABC, abstractmethod
from pathlib import Path


class AppendFile(ABC):
    """A file open for appending."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Append bytes, which a crash may lose until `sync` has returned."""

    @abstractmethod
    def sync(self) -> None:
        """Return once all written bytes are durable under the path by which the file was opened."""

    @abstractmethod
    def close(self) -> None:
        """Close the file without syncing it."""


class FileLayer(ABC):
    """File operations; all of them raise `OSError` when they fail."""

    @abstractmethod
    def make_folder(self, folder: str) -> None:
        """Create a folder and its missing parents, unless it exists."""

    @abstractmethod
    def lock(self, path: str) -> None:
        """Acquire an exclusive lock, held until `unlock` is called or the process ends."""

    @abstractmethod
    def unlock(self, path: str) -> None:
        """Release the lock, if it is held."""

    @abstractmethod
    def list_names(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""

    @abstractmethod
    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    @abstractmethod
    def open_append(self, path: str) -> AppendFile:
        """Open a file for appending, and create it if it does not exist."""

    @abstractmethod
    def truncate(self, path: str, size_bytes: int) -> None:
        """Truncate a file to `size_bytes` and sync it."""

    @abstractmethod
    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically, replacing the target."""

    @abstractmethod
    def remove(self, path: str) -> None:
        """Remove a file."""

    @abstractmethod
    def sync_folder(self, folder: str) -> None:
        """Return once all creations, renames and removals in a folder are durable."""


class _RealAppendFile(AppendFile):
    def __init__(self, path: str) -> None:
        self._path = path
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        os.fdatasync(self._descriptor)
        # A removed file still accepts writes and syncs, but its records would be lost at the next
        # start. The path must therefore still refer to this open file.
        open_file = os.fstat(self._descriptor)
        named = os.stat(self._path)
        if (open_file.st_dev, open_file.st_ino) != (named.st_dev, named.st_ino):
            raise OSError(
                errno.ENOENT,
                "the open file was replaced or removed, expected the path to refer to it",
                self._path,
            )

    def close(self) -> None:
        os.close(self._descriptor)


class RealFiles(FileLayer):
    """Files of the operating system's file system."""

    def __init__(self) -> None:
        self._locks: dict[str, int] = {}

    def make_folder(self, folder: str) -> None:
        """Create a folder and its missing parents, unless it exists."""
        Path(folder).mkdir(mode=0o700, parents=True, exist_ok=True)
        self.sync_folder(str(Path(folder).parent))

    def lock(self, path: str) -> None:
        """Acquire an exclusive lock, held until `unlock` is called or the process ends."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._locks[path] = descriptor

    def unlock(self, path: str) -> None:
        """Release the lock, if it is held."""
        descriptor = self._locks.pop(path, None)
        if descriptor is not None:
            os.close(descriptor)

    def list_names(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""
        return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        return Path(path).read_bytes()

    def open_append(self, path: str) -> AppendFile:
        """Open a file for appending, and create it if it does not exist."""
        return _RealAppendFile(path)

    def truncate(self, path: str, size_bytes: int) -> None:
        """Truncate a file to `size_bytes` and sync it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size_bytes)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, source: str, target: str) -> None:
        """Rename a file atomically, replacing the target."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def sync_folder(self, folder: str) -> None:
        """Return once all creations, renames and removals in a folder are durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


UNLIMITED_BYTES = 1 << 62
"""Free space of a simulated disk without a capacity limit, in bytes."""


class _SimulatedNode:
    """Content of a simulated file.

    `data` is the content that programs read. `durable` is the content as of the last sync, which
    survives a crash.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.durable = b""


class _SimulatedAppendFile(AppendFile):
    def __init__(self, files: "SimulatedFiles", path: str, node: _SimulatedNode) -> None:
        self._files = files
        self._path = path
        self._node = node
        self._epoch = files.epoch

    def write(self, data: bytes) -> None:
        self._check_open()
        free_bytes = self._files.free_bytes()
        self._node.data.extend(data[:free_bytes])
        if free_bytes < len(data):
            raise OSError(
                errno.ENOSPC,
                f"no space left on the simulated disk: wrote {free_bytes} of {len(data)} bytes",
                self._path,
            )

    def sync(self) -> None:
        self._check_open()
        self._files.check_sync(self._path, self._node)
        self._node.durable = bytes(self._node.data)

    def close(self) -> None:
        pass

    def _check_open(self) -> None:
        if self._epoch != self._files.epoch:
            raise OSError(
                errno.EBADF,
                f"the file was opened in epoch {self._epoch}, before a simulated crash; "
                f"the current epoch is {self._files.epoch}",
                self._path,
            )


class SimulatedFiles(FileLayer):
    """In-memory files that simulate disk faults.

    Attributes
    ----------
    epoch
        Number of simulated crashes; a file that was opened before a crash is unusable after it.
    capacity_bytes
        Size of the disk in bytes, or None for no limit.
    sync_fails
        Whether every sync fails.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.capacity_bytes: int | None = None
        self.sync_fails = False
        self._current: dict[str, _SimulatedNode] = {}
        self._durable: dict[str, _SimulatedNode] = {}
        self._locks: set[str] = set()

    def crash(self, random: random_module.Random) -> None:
        """Simulate a crash.

        All changes of names since the last folder sync are lost, and of the unsynced tail of each
        file only a random part survives.
        """
        self.epoch += 1
        self._locks.clear()
        self._current = dict(self._durable)
        for path in sorted(self._current):
            node = self._current[path]
            unsynced = bytes(node.data[len(node.durable) :])
            survived = unsynced[: random.randint(0, len(unsynced))]
            node.data = bytearray(node.durable + survived)
            node.durable = bytes(node.data)

    def remove_folder(self, folder: str) -> None:
        """Remove all files of a folder, as an operator may do while a program uses them."""
        for names in (self._current, self._durable):
            for path in [path for path in names if path.startswith(folder + "/")]:
                del names[path]

    def damage(self, path: str, offset: int) -> None:
        """Invert all bits of the byte at `offset`, also in the durable content."""
        node = self._current[path]
        node.data[offset] ^= 0xFF
        node.durable = bytes(node.data)

    def free_bytes(self) -> int:
        """Return the free space of the disk in bytes."""
        if self.capacity_bytes is None:
            return UNLIMITED_BYTES
        return max(0, self.capacity_bytes - sum(len(n.data) for n in self._current.values()))

    def check_sync(self, path: str, node: _SimulatedNode) -> None:
        """Raise `OSError` if a sync of this file can't succeed."""
        if self.sync_fails:
            raise OSError(errno.EIO, "sync of the file failed: sync_fails is set", path)
        if self._current.get(path) is not node:
            raise OSError(
                errno.ENOENT,
                "the open file was replaced or removed, expected the path to refer to it",
                path,
            )

    def make_folder(self, folder: str) -> None:
        """Do nothing: a simulated folder exists as soon as a file is in it."""

    def lock(self, path: str) -> None:
        """Acquire an exclusive lock, held until `unlock` is called or a crash is simulated."""
        if path in self._locks:
            raise OSError(errno.EAGAIN, "the file is already locked, expected no lock", path)
        self._locks.add(path)

    def unlock(self, path: str) -> None:
        """Release the lock, if it is held."""
        self._locks.discard(path)

    def list_names(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""
        prefix = folder + "/"
        return sorted(path[len(prefix) :] for path in self._current if path.startswith(prefix))

    def read(self, path: str) -> bytes:
        """Return the content of a file."""
        return bytes(self._node(path).data)

    def open_append(self, path: str) -> AppendFile:
        """Open a file for appending, and create it if it does not exist."""
        node = self._current.setdefault(path, _SimulatedNode())
        return _SimulatedAppendFile(self, path, node)

    def truncate(self, path: str, size_bytes: int) -> None:
        """Truncate a file to `size_bytes` and sync it."""
        node = self._node(path)
        del node.data[size_bytes:]
        self.check_sync(path, node)
        node.durable = bytes(node.data)

    def rename(self, source: str, target: str) -> None:
        """Rename a file, replacing the target."""
        node = self._node(source)
        del self._current[source]
        self._current[target] = node

    def remove(self, path: str) -> None:
        """Remove a file."""
        self._node(path)
        del self._current[path]

    def sync_folder(self, folder: str) -> None:
        """Make all creations, renames and removals in a folder durable."""
        if self.sync_fails:
            raise OSError(errno.EIO, "sync of the folder failed: sync_fails is set", folder)
        prefix = folder + "/"
        durable = {p: n for p, n in self._durable.items() if not p.startswith(prefix)}
        durable.update({p: n for p, n in self._current.items() if p.startswith(prefix)})
        self._durable = durable

    def _node(self, path: str) -> _SimulatedNode:
        node = self._current.get(path)
        if node is None:
            raise FileNotFoundError(errno.ENOENT, "no such file on the simulated disk", path)
        return node
