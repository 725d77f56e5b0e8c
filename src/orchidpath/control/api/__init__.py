"""The operators' and workers' HTTP API of a control process, and its client.

Begin with :mod:`.operator_api`; bodies stand beside it. Imported by
:mod:`orchidpath.control.process`, the command line and the platform adapter.
"""
