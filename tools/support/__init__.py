"""Runs a small cluster on loopback for tests and measurements."""
