"""Routing decisions of one router, without input or output.

Contains the consistent hash ring, the ordering of candidate workers, admission control, the retry
budget, the evidence about failed KV transfers, the freshness lease and the state machine of a
request's attempts.
"""
