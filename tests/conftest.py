"""Profiles of Hypothesis: ``fixed``, the default, and ``hunt``.

With ``fixed``, every run tests the same examples. ``HYPOTHESIS_PROFILE=hunt pytest ...`` generates
new examples, ten times as many, and prints with each failure the decorator that reproduces it.
"""

import os

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, print_blob=True)
settings.register_profile("hunt", derandomize=False, print_blob=True, max_examples=1000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))
