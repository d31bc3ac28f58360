"""Assigns queued requests to endpoints."""
