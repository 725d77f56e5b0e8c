"""The emulated clients: arrivals, requests, and the judgement of each response.

Begin with :mod:`.caller`. It parses streams by itself and shares no code with the router, so
that neither hides a fault of the other. Imported by the command line and the local fleet.
"""
