"""Which router a caller turns to: the nearby one by hash, skipping unready ones."""

import xxhash


class RouterSelection:
    """Orders the routers for each caller.

    Parameters
    ----------
    routers : list[str]
        Base addresses; all of them count as ready until a probe says otherwise.
    """

    def __init__(self, routers: list[str]) -> None:
        self._routers = list(routers)
        self._unready: set[str] = set()

    @property
    def routers(self) -> list[str]:
        """Every router."""
        return self._routers

    @property
    def ready_count(self) -> int:
        """How many routers are ready."""
        return len(self._routers) - len(self._unready)

    def set_ready(self, router: str, ready: bool) -> None:
        """Take the result of a probe or of a failed connection."""
        if ready:
            self._unready.discard(router)
        else:
            self._unready.add(router)

    def preferred_routers(self, caller_id: str) -> list[str]:
        """Return the routers to try for a caller, nearest first.

        Parameters
        ----------
        caller_id : str
            The caller; rendezvous hashing keeps its order stable while routers come and go.

        Returns
        -------
        list[str]
            Ready routers, and behind them the unready ones in case the probes are out of date.
        """
        ranked = sorted(self._routers, key=lambda router: _weight(caller_id, router), reverse=True)
        return sorted(ranked, key=lambda router: router in self._unready)


def _weight(caller_id: str, router: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{caller_id}@{router}".encode())
