"""The state machine of one chat or plain request: events in, instructions out.

Begin with the table of transitions in :mod:`.request_machine`. Imported by the router's
chat path and by the simulation; it does no input or output.
"""
