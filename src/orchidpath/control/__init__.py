"""The control process: consensus shell, sessions with the fleet and the operators' HTTP API."""
