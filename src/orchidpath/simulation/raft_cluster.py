"""Former name of :mod:`orchidpath.simulation.raft.group`, kept for ``python -m``."""

from orchidpath.simulation.raft.group import main

if __name__ == "__main__":
    main()
