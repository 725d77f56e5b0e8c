"""Deterministic simulation of the fleet in virtual time, with invariant checkers."""
