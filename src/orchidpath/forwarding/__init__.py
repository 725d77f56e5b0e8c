"""Forwarding of opaque requests to workers: route tables and decisions, without input or output.

Start reading with :mod:`.progress`, which contains the retry rules, and :mod:`.proxy`, which
contains the state machine of a request. The router imports this package.
"""
