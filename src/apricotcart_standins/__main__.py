"""Entry point of ``python -m apricotcart_standins``."""

from __future__ import annotations

import sys

from apricotcart_standins.run import run

if __name__ == '__main__':
    sys.exit(run())
