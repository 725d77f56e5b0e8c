"""Desired state, plans and role changes."""
