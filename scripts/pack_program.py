"""Combines the launcher and the program folder into one file."""

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

# Archive format read by launcher/launcher.c.
_MAGIC = b'apricotcart-pack'
_BUILD_ID_DIGITS = 32


def _encode_folder(folder: Path) -> Iterator[bytes]:
    for path in sorted(folder.rglob('*')):
        name = path.relative_to(folder).as_posix()
        if path.is_symlink():
            yield _encode_entry('l', 0o777, os.readlink(path).encode(), name)
        elif path.is_dir():
            yield _encode_entry('d', 0o755, b'', name)
        else:
            mode = stat.S_IMODE(path.stat().st_mode) & 0o755
            yield _encode_entry('f', mode, path.read_bytes(), name)
    yield _encode_entry('e', 0, b'', '.')


def _encode_entry(entry_type: str, mode: int, blob: bytes, name: str) -> bytes:
    return f'{entry_type} {mode:o} {len(blob)} {name}\n'.encode() + blob


def _pack_folder(folder: Path) -> bytes:
    archive = io.BytesIO()
    # A fixed modification time makes the output reproducible.
    with gzip.GzipFile(fileobj=archive, mode='wb', mtime=0) as stream:
        for entry in _encode_folder(folder):
            stream.write(entry)
    return archive.getvalue()


def main(launcher: str, folder: str, output: str) -> None:
    """Write the single-file program."""
    archive = _pack_folder(Path(folder))
    build_id = hashlib.sha256(archive).hexdigest()[:_BUILD_ID_DIGITS].encode()
    trailer = _MAGIC + build_id + struct.pack('<Q', len(archive))
    target = Path(output)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(Path(launcher).read_bytes() + archive + trailer)
    target.chmod(0o755)


if __name__ == '__main__':
    main(*sys.argv[1:])
