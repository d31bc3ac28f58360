"""Admission, priority tiers, fair queueing, dispatch and load shedding."""
