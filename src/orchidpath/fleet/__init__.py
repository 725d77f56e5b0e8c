"""Local fleet on loopback: starts, monitors and stops every role, and injects faults."""
