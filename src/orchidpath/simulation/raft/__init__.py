"""A replica group alone under faults, in virtual time.

Begin with :mod:`.group`; what must hold is in :mod:`.group_checks`. Imported by
:mod:`orchidpath.simulation` and its command only.
"""
