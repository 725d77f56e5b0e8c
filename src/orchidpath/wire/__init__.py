"""Framed messages over TCP: the only transport between the fleet's own processes."""
