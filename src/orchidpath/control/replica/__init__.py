"""One control replica: its decisions, the loop that carries them out, and requests that wait.

The decisions are in :mod:`.control_replica`; :mod:`.replica_loop` runs it. Begin with the first.
Imported by :mod:`orchidpath.control` and the simulation.
"""
