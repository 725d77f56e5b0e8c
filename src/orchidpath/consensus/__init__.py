"""Raft consensus: replicated log, election, leases, membership changes, snapshots and storage."""
