"""Forwarding of opaque requests to workers: tables and decisions, without input or output.

Begin with :mod:`.progress` for what may be sent again, and :mod:`.proxy` for the state machine of a
request. Imported by the router.
"""
