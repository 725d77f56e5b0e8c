"""The replicated state machine: configuration, membership, plans, circuits and outcomes."""
