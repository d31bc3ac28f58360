"""Requests to endpoints, and their responses."""
