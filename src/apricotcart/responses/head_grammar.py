"""Grammar of the lines in the head of a response.

The HTTP library skips lines that it cannot parse, and all lines after them.
One of these may say where the body ends.
"""

from __future__ import annotations

import re
from typing import Final

from apricotcart.responses.framing import FramingError

# Source: RFC 9112, sections 2.2 and 4, and RFC 9110, section 15, which defines
# the statuses from 100 to 599. A line may end with LF alone, and the space
# before an empty reason may be missing.
_STATUS_LINE: Final = re.compile(
    rb'HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n'
)
# Source: RFC 9112, section 5. Folded lines are obsolete, and invalid here.
_FIELD_LINE: Final = re.compile(
    rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
)
_BLANK_LINES: Final = frozenset((b'\r\n', b'\n'))


def require_status_line(line: bytes) -> None:
    """Raise if a line is not the status line of a response.

    Raises
    ------
    FramingError
        If it is not.
    """
    if _STATUS_LINE.fullmatch(line) is None:
        raise FramingError('the status line is invalid')


def require_field_line(line: bytes) -> None:
    """Raise if a line is neither a header nor the blank line after them.

    Raises
    ------
    FramingError
        If it is not.
    """
    if is_blank(line):
        return
    if _FIELD_LINE.fullmatch(line) is None:
        raise FramingError('a header line is invalid')


def is_blank(line: bytes) -> bool:
    """Return whether a line ends a block of headers or trailers."""
    return line in _BLANK_LINES
