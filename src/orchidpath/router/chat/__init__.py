"""Request path of chat completions and plain calls: HTTP edge, request runner, back-end client.

Begin with :mod:`.http_edge`, then :mod:`.request_runner`. Imported by
:mod:`orchidpath.router.process` and the simulation.
"""
