"""Runs apricotcart with response threads that pause before the last chunk.

A busy machine may take the processor from a thread at any point. This one is
where a response has all its events, but does not look complete yet.
"""

from __future__ import annotations

import sys
import time
from typing import Any, Final

from cheroot import wsgi

from apricotcart.run import run

_PAUSE_S: Final = 0.1


_respond: Any = wsgi.Gateway.respond


def respond_and_pause(gateway: wsgi.Gateway) -> None:
    """Write the response except for the last chunk, then pause."""
    _respond(gateway)
    time.sleep(_PAUSE_S)


wsgi.Gateway.respond = respond_and_pause  # type: ignore

if __name__ == '__main__':
    sys.exit(run())
