"""Loopback TCP relay that injects network faults."""
