"""Code that processes of every role share.

Addresses, backoff, the clock, the daemon runner, errors, logs, metrics and settings.
"""
