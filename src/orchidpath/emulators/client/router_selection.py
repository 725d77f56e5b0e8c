"""Selection of a router for a caller by rendezvous hashing, with ready routers first."""

import xxhash


class RouterSelection:
    """Ranks the routers for each caller.

    Parameters
    ----------
    routers : list[str]
        Base URLs. Each router counts as ready until a probe or a connection fails.
    """

    def __init__(self, routers: list[str]) -> None:
        self._routers = list(routers)
        self._unready: set[str] = set()

    @property
    def routers(self) -> list[str]:
        """The base URLs of all routers."""
        return self._routers

    @property
    def ready_count(self) -> int:
        """The number of ready routers."""
        return len(self._routers) - len(self._unready)

    def set_ready(self, router: str, ready: bool) -> None:
        """Store the readiness of a router after a probe or a failed connection."""
        if ready:
            self._unready.discard(router)
        else:
            self._unready.add(router)

    def preferred_routers(self, caller_id: str) -> list[str]:
        """Return the routers to try for a caller, most preferred first.

        Parameters
        ----------
        caller_id : str
            Id of the caller. Rendezvous hashing keeps its ranking stable when the set of routers
            changes.

        Returns
        -------
        list[str]
            The ready routers, followed by the unready ones in case the probes are out of date.
        """
        ranked = sorted(self._routers, key=lambda router: _weight(caller_id, router), reverse=True)
        return sorted(ranked, key=lambda router: router in self._unready)


def _weight(caller_id: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{caller_id}@{router}".encode())
