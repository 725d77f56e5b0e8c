"""The duties that only the leader performs, one module per duty; none performs I/O.

Start with :mod:`.leader_duties`, which calls the other modules in order. All of it is soft state
that is dropped when the leadership ends. Imported by :mod:`orchidpath.control.replica` and the
simulation.
"""
