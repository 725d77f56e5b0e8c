"""Links between control processes, which exist some time after the membership names an address.

A real control process connects to the members that its newest membership names, and looks for
changes periodically. Until then, it reaches another process only if that one has connected to it.
"""

from orchidpath.simulation.environment import SimulatedEnvironment

LINK_SECONDS = 0.2
"""Time until a process connects to a new member; the period of the real process."""


class MemberLinks:
    """The addresses to which one simulated control process has connected.

    Parameters
    ----------
    environment
        The environment that the process runs in.
    """

    def __init__(self, environment: SimulatedEnvironment) -> None:
        self._environment = environment
        self._since: dict[str, float] = {}
        self._joined_through: set[str] = set()

    def set_addresses(self, addresses: set[str]) -> None:
        """Connect to these addresses and close the links to all others."""
        now = self._environment.time
        self._since = {address: self._since.get(address, now) for address in addresses}

    def join_through(self, address: str) -> None:
        """Connect to the process that is asked for the members, or asked to join."""
        self._joined_through.add(address)

    def is_up(self, address: str) -> bool:
        """Return whether the connection to an address is established."""
        if address in self._joined_through:
            return True
        since = self._since.get(address)
        return since is not None and self._environment.time - since >= LINK_SECONDS
