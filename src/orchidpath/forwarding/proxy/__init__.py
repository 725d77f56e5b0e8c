"""The state machine of one forwarded request: events in, effects out.

Begin with the table of transitions in :mod:`.proxy_machine`. Imported by the router's proxy path,
which carries the effects out; it does no input or output.
"""
