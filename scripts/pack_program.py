"""Joins the launcher and a program's folder into one file."""

from __future__ import annotations

import gzip
import hashlib
import io
import os
import stat
import struct
import sys
from collections.abc import Iterator
from pathlib import Path

# The launcher reads this format; see launcher/launcher.c.
_MAGIC = b'apricotcart-pack'
_ID_DIGITS = 32


def _entries(folder: Path) -> Iterator[bytes]:
    for path in sorted(folder.rglob('*')):
        name = path.relative_to(folder).as_posix()
        if path.is_symlink():
            yield _entry('l', 0o777, os.readlink(path).encode(), name)
        elif path.is_dir():
            yield _entry('d', 0o755, b'', name)
        else:
            mode = stat.S_IMODE(path.stat().st_mode) & 0o755
            yield _entry('f', mode, path.read_bytes(), name)
    yield _entry('e', 0, b'', '.')


def _entry(type_: str, mode: int, blob: bytes, name: str) -> bytes:
    return f'{type_} {mode:o} {len(blob)} {name}\n'.encode() + blob


def _pack(folder: Path) -> bytes:
    packed = io.BytesIO()
    # Without a time, equal folders give equal files.
    with gzip.GzipFile(fileobj=packed, mode='wb', mtime=0) as stream:
        for entry in _entries(folder):
            stream.write(entry)
    return packed.getvalue()


def main(launcher: str, folder: str, output: str) -> None:
    """Write the one-file program."""
    packed = _pack(Path(folder))
    build_id = hashlib.sha256(packed).hexdigest()[:_ID_DIGITS].encode()
    trailer = _MAGIC + build_id + struct.pack('<Q', len(packed))
    target = Path(output)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(Path(launcher).read_bytes() + packed + trailer)
    target.chmod(0o755)


if __name__ == '__main__':
    main(*sys.argv[1:])
