"""Gateway process, which forwards callers' requests to endpoints."""
