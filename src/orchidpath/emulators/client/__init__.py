"""The emulated clients: arrivals, requests and the verification of each response.

Start reading with :mod:`.caller`. The clients have their own parser of event streams and share no
code with the router, so that a fault in one is not hidden by the same fault in the other.
Imported by the command line and the local fleet.
"""
