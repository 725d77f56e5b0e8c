"""Offline tools: decision replay, settings reference, journal reports and measurement helpers."""
