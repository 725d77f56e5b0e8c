"""The path of opaque requests that the router passes on: server, runner, upstream connections.

Begin with :mod:`.proxy_edge`, then :mod:`.proxy_runner`. Imported by
:mod:`orchidpath.router.process` and the platform adapter.
"""
