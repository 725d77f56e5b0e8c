"""Replicated log: election, leases, membership change, snapshots and storage."""
