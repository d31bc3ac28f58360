"""Version of the package, which pyproject.toml reads."""

from __future__ import annotations

from typing import Final

VERSION: Final = '0.1.0'
