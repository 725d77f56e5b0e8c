"""Local fleet on loopback: start, watch, fault and stop every role."""
