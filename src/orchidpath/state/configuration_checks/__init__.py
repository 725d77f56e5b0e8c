"""Checks of a configuration before it is proposed: structure, ranges, names, references, paths.

The entry point is :mod:`.validation`. It is used by the control process's API, the command line
and the platform adapter. The replicated state applies committed configurations without checks.
"""
