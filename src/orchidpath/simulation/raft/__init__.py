"""A replica group alone under faults, in virtual time.

Start with :mod:`.group`; the invariants are in :mod:`.invariants`. Imported by
:mod:`orchidpath.simulation` and its command only.
"""
