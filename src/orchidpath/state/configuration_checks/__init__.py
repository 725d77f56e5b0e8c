"""Checks of a configuration before it is accepted: structure, ranges, names, references, paths.

Begin with :mod:`.validation`. Imported by the control process's API, the command line and the
platform adapter; the replicated state itself accepts what was checked.
"""
