"""Headers that reach endpoints: an allowlist, never a caller's key."""

from __future__ import annotations

from apricotcart.entry.upstream import REQUEST_ID
from apricotcart.web.request import WebRequest

PRIORITY = 'X-Priority'
ORDER_KEY = 'X-Order-Key'
_FORWARDED = ('Content-Type', 'Accept', 'Accept-Language')
# The whole answer must arrive as it was produced.
_FIXED = (('Accept-Encoding', 'identity'),)


def endpoint_headers(req: WebRequest, request_id: str) -> dict[str, str]:
    """Give the headers of a call to an endpoint."""
    headers = dict(_FIXED)
    for name in _FORWARDED:
        given = req.header(name)
        if given:
            headers[name] = given
    headers[REQUEST_ID] = request_id
    return headers
