"""Compares the scheduler with baseline policies on simulated engines."""
