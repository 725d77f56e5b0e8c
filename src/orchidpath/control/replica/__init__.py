"""One control replica: its logic, the loop that runs it, and its pending requests.

Start with :mod:`.control_replica`, which contains the logic. :mod:`.replica_loop` runs it.
Imported by :mod:`orchidpath.control` and the simulation.
"""
