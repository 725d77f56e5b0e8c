"""Placement: where prompts are prefilled, and which workers prefill and which decode."""
