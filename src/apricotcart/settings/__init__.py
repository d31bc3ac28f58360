"""Reads and validates the settings files of all processes."""
