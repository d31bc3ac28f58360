"""Durable log, vote, snapshot and identity of a control host."""
