"""Scenarios with faults on real processes, and a list of all proofs."""
