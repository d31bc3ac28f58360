"""Endpoint table, selection, adaptive limits, suspects and drain."""
