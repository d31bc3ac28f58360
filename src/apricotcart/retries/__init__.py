"""Retry budget, retry policy and back-off."""
