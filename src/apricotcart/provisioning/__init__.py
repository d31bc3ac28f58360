"""Endpoint provisioning and usage reports, run by the leader."""
