"""The fault script as a timeline of actions, and the table of partitioned links."""

from collections.abc import Sequence

import msgspec

from orchidpath.fleet.file import ScriptedFault, ScriptedFaultKind
from orchidpath.wire.link_faults import ANY_NODE, LinkFault, LinkFaultFile

_ENDING_ACTION = {
    ScriptedFaultKind.KILL: ScriptedFaultKind.START,
    ScriptedFaultKind.STOP: ScriptedFaultKind.START,
    ScriptedFaultKind.FREEZE: ScriptedFaultKind.WAKE,
    ScriptedFaultKind.PARTITION: ScriptedFaultKind.HEAL,
}
"""Action that ends a fault which has a duration."""


class TimedAction(msgspec.Struct, frozen=True, kw_only=True):
    """One action at one time; ``number`` is the index of its step in the fault script."""

    at_seconds: float
    number: int
    kind: ScriptedFaultKind
    fault: ScriptedFault


def timeline(faults: Sequence[ScriptedFault]) -> list[TimedAction]:
    """Expand a fault script into single actions, sorted by time.

    A fault with ``for_seconds`` becomes two actions: its start and its end.
    """
    actions: list[TimedAction] = []
    for number, fault in enumerate(faults):
        actions.append(
            TimedAction(at_seconds=fault.at_seconds, number=number, kind=fault.kind, fault=fault)
        )
        end = _ENDING_ACTION.get(fault.kind)
        if end is not None and fault.for_seconds > 0:
            end_seconds = fault.at_seconds + fault.for_seconds
            actions.append(
                TimedAction(at_seconds=end_seconds, number=number, kind=end, fault=fault)
            )
    return sorted(actions, key=lambda action: action.at_seconds)


class PartitionTable:
    """The links that are currently partitioned."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._partitions: dict[int, list[LinkFault]] = {}

    def cut(
        self, number: int, sources: Sequence[str], destinations: Sequence[str], *, one_way: bool
    ) -> None:
        """Cut every link from the sources to the destinations; no destinations means all nodes.

        Parameters
        ----------
        number
            Step of the script; pass the same number to :meth:`heal`.
        sources, destinations
            Names of processes.
        one_way
            Whether messages in the other direction are still delivered.
        """
        self._partitions[number] = [
            LinkFault(
                source=source, destination=destination, both_ways=not one_way, partitioned=True
            )
            for source in sources
            for destination in (destinations or (ANY_NODE,))
        ]

    def heal(self, number: int) -> None:
        """End the cut of one step."""
        self._partitions.pop(number, None)

    def heal_nodes(self, names: Sequence[str]) -> None:
        """End every cut that has one of the names as its source."""
        for number, partitions in tuple(self._partitions.items()):
            retained = [cut for cut in partitions if cut.source not in names]
            if retained:
                self._partitions[number] = retained
            else:
                del self._partitions[number]

    def as_file(self) -> LinkFaultFile:
        """Return the content of the fault file."""
        links = [link for partitions in self._partitions.values() for link in partitions]
        return LinkFaultFile(seed=self._seed, links=links)
