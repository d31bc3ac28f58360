"""Seeds that failed once, with the cause."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

REGRESSIONS: Final = MappingProxyType(
    {
        6: 'a gateway exits while requests wait to be accepted or read',
        10: 'a gateway exits between the last event and the last chunk',
        22: 'a gateway exits within the last refusals',
        28: 'a gateway exits within the last refusals',
    }
)
