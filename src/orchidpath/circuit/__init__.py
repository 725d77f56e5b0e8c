"""Circuit state of each worker: failure classes, breaker, probes, health and capacity circuits."""
