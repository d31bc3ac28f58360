"""Tests that fail because of an open fault, from KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

_LIST = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_MARK = 'tests/'
# Word in the entry of a test that does not always fail.
UNSTEADY = 'unsteady:'


def known_red_tests() -> dict[str, str]:
    """Return the line of each listed test, by the id that pytest gives it.

    An entry starts with the test's id; lines that do not are explanations.
    """
    if not _LIST.exists():
        return {}
    lines = _LIST.read_text(encoding='utf-8').splitlines()
    return {line.split()[0]: line for line in lines if line.startswith(_MARK)}
