"""The proxy path, for requests whose bodies the router forwards without parsing them.

Contains the HTTP server, the request runner and the connections to workers. Begin with
:mod:`.proxy_edge`, then :mod:`.proxy_runner`, which executes the decisions of the machine in
:mod:`orchidpath.forwarding.proxy`. Imported by :mod:`orchidpath.router.process` and the platform
adapter.
"""
