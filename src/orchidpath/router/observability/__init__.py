"""Observability of a router: metrics, health probes and the decision log.

Begin with :mod:`.metrics_page`. Imported by the router's request paths.
"""
