"""What only the leader does: one module a duty, all of them pure.

Begin with :mod:`.leader_duties`, which calls the others in order. All of it is soft state that
ends with a leadership. Imported by :mod:`orchidpath.control.replica` and the simulation.
"""
