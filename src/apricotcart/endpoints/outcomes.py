"""Outcomes of dispatched requests."""

from __future__ import annotations

OK = 'ok'
# The endpoint returned an error or timed out, without breaking connections.
FAILED = 'failed'
# The endpoint refused the request because it is busy.
REFUSED = 'refused'
CANCELLED = 'cancelled'
# The connection broke after the request was sent and before the end marker.
CRASHED = 'crashed'
# The connection could not be established, so that nothing was sent.
UNREACHABLE = 'unreachable'

# Outcomes that guarantee that the attempt did not run.
NOT_RUN_OUTCOMES = frozenset((REFUSED, UNREACHABLE))
