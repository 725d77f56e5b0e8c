"""Framed messages over TCP, the only transport between the fleet's own processes.

The package also defines the data that processes exchange with back ends and operators, and the
records that are both sent and stored.
"""
