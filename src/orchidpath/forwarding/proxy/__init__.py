"""The state machine of one forwarded request, which turns events into effects.

Start reading with the table of transitions in :mod:`.proxy_machine`. This package does no input or
output; the router's proxy path imports it and executes the effects.
"""
