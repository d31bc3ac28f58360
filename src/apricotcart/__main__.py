"""Runs the program for ``python -m apricotcart``."""

from __future__ import annotations

import sys

from apricotcart.run import run

if __name__ == '__main__':
    sys.exit(run())
