"""What every role shares: identifiers, clock, errors, settings, logging, metrics, backoff."""
