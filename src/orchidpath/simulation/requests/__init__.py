"""The request path of a simulated fleet: callers, serving routers, back ends and their checks.

The entry point is :mod:`.serving_fleet`; the invariants are in :mod:`.path_checks`. The scenarios
in :mod:`orchidpath.simulation` import this package.
"""
