"""Placement of prompts on prefill workers, and of workers in the prefill or decode stage."""
