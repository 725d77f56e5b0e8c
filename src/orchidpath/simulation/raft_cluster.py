"""Former place of :mod:`orchidpath.simulation.raft.group`: ``python -m`` of it still works."""

from orchidpath.simulation.raft.group import main

if __name__ == "__main__":
    main()
