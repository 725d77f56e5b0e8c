"""The proxy path of opaque requests: server, request runner, connections to workers.

Begin with :mod:`.proxy_edge`, then :mod:`.proxy_runner`, which carries out what the machine in
:mod:`orchidpath.forwarding.proxy` decides. Imported by
:mod:`orchidpath.router.process` and the platform adapter.
"""
