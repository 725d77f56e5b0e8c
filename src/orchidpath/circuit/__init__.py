"""Per-worker state: failure classes, breaker, probe, health window and capacity circuit."""
