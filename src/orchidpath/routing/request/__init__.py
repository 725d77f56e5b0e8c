"""The state machine of one chat or plain request, which maps events to instructions.

Start reading at the transition table in :mod:`.request_machine`. The router's chat path and the
simulation use this package. It does no input or output.
"""
