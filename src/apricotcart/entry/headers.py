"""Headers sent to endpoints: an allowlist, so that no caller's key leaks."""

from __future__ import annotations

from apricotcart.entry.upstream import REQUEST_ID
from apricotcart.web.request import WebRequest

PRIORITY = 'X-Priority'
ORDER_KEY = 'X-Order-Key'
_FORWARDED = ('Content-Type', 'Accept', 'Accept-Language')
# Answers must arrive unmodified, without a content encoding.
_FIXED = (('Accept-Encoding', 'identity'),)


def endpoint_headers(req: WebRequest, request_id: str) -> dict[str, str]:
    """Return the headers of a call to an endpoint."""
    headers = dict(_FIXED)
    for name in _FORWARDED:
        header = req.header(name)
        if header:
            headers[name] = header
    headers[REQUEST_ID] = request_id
    return headers
