"""Units in which the ranges of settings are given."""

from __future__ import annotations

from typing import Final

MS: Final = 0.001
MINUTE_S: Final = 60
HOUR_S: Final = 60 * MINUTE_S
DAY_S: Final = 24 * HOUR_S
KIB: Final = 1024
MIB: Final = KIB * KIB
