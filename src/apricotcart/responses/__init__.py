"""Checks on HTTP responses of endpoints, for both kinds of entry."""
