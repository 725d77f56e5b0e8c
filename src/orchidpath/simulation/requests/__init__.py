"""The request path of a simulated fleet: callers, serving routers, back ends and their checks.

Begin with :mod:`.serving_fleet`; what must hold is in :mod:`.path_checks`. Imported by the
scenarios in :mod:`orchidpath.simulation`.
"""
