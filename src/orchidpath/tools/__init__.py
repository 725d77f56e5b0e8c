"""Checker, replay, bench and reports."""
