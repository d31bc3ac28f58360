"""Fencing token of the active leader."""

from __future__ import annotations

from typing import Any

from apricotcart.state.fields import NAME_PATTERN, Text
from apricotcart.state.replies import invalid
from apricotcart.state.schema import Schema

_TAKE_FIELDS = Schema({'holder': Text(pattern=NAME_PATTERN)})


class FencingCounter:
    """Issues fencing tokens, each one greater than the one before."""

    __slots__ = ('holder', 'token')

    def __init__(self) -> None:
        """Initialize with token 0 and without a holder."""
        self.token = 0
        self.holder = ''

    def issue(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Issue the next token to a holder.

        Raises
        ------
        InvalidResourceError
            If the holder is not a valid name.
        """
        normalized, faults = _TAKE_FIELDS.normalize(fields, '')
        if faults:
            raise invalid(faults)
        self.token += 1
        self.holder = normalized['holder']
        return {'fencing': self.token}

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the counter."""
        return {'token': self.token, 'holder': self.holder}

    def load(self, wire: dict[str, Any]) -> None:
        """Load the output of ``to_wire``."""
        self.token = wire['token']
        self.holder = wire['holder']
