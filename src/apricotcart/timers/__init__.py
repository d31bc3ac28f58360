"""Threads that repeat a task."""
