"""Simulation of a single Raft group under faults, in virtual time.

The entry point is :mod:`.group`; the invariants are in :mod:`.invariants`. Only
:mod:`orchidpath.simulation` and its command import this package.
"""
