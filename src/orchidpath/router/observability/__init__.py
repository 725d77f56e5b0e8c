"""What a router tells about itself: metrics, readiness and the decision log.

Begin with :mod:`.metrics_page`. Imported by the router's request paths.
"""
