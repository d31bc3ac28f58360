"""Clocks and threads that repeat a task."""
