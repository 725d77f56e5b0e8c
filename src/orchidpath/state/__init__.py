"""The replicated state machine: configuration, fleet membership, orders and circuits."""
