"""Retry policy, retry budget and back-off."""
