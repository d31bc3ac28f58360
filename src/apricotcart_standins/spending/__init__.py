"""Measures spending on endpoints against service, over seeds."""
