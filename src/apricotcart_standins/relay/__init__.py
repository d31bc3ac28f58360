"""Loopback TCP relay with network faults."""
