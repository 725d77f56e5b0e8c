"""HTTP API of a control process for operators and workers, and its client.

Start reading at :mod:`.operator_api`; :mod:`.operator_bodies` and :mod:`.plan_bodies` define the
bodies. Imported by :mod:`orchidpath.control.process`, the command line and the platform adapter.
"""
