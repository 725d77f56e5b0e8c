"""Emulated model workers, plain services and callers."""
