"""Admission, tiers, fair share in tokens, dispatch and load shedding."""
