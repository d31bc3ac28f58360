"""Outcomes of a dispatched request."""

from __future__ import annotations

OK = 'ok'
# The endpoint failed without breaking its connections, or timed out.
FAILED = 'failed'
# The endpoint refused the request because of its load.
REFUSED = 'refused'
CANCELLED = 'cancelled'
# The connection broke after the request was sent, before the end marker.
CRASHED = 'crashed'
# No connection could be made, so that nothing of the request was sent.
UNREACHABLE = 'unreachable'

# After these the attempt certainly did not run.
NOT_RUN_OUTCOMES = frozenset((REFUSED, UNREACHABLE))
