"""Cuts between a gateway and all endpoints."""

from __future__ import annotations

import enum
from pathlib import Path


class CutWay(enum.StrEnum):
    """What becomes of connections to endpoints."""

    # Everything passes.
    NONE = 'none'
    # Open connections are reset and new ones refused.
    RESET = 'reset'
    # Open connections bring nothing, and new ones are not established.
    SILENT = 'silent'
    # Open connections live on, but new ones are refused.
    NEW_REFUSED = 'new-refused'


class CutControl:
    """File from which a gateway's launcher reads the way of the cut."""

    __slots__ = ('_path',)

    def __init__(self, path: Path) -> None:
        self._path = path

    def write(self, way: CutWay) -> None:
        """Replace the way in one step."""
        draft = self._path.with_suffix('.draft')
        draft.write_text(way, encoding='ascii')
        draft.replace(self._path)

    def read(self) -> CutWay:
        """Return the way."""
        return CutWay(self._path.read_text(encoding='ascii'))
