"""Small files that are replaced as a whole."""

from __future__ import annotations

import struct
import zlib
from typing import Any

from apricotcart.codec.packing import pack, unpack
from apricotcart.storage.disk import Disk
from apricotcart.storage.failures import DamagedStoreError

# Magic, body length, body checksum.
_HEADER = struct.Struct('<4sQI')
_MAGIC = b'ACD1'


class DocumentFile:
    """One msgpack document with a checksum."""

    def __init__(self, disk: Disk, name: str) -> None:
        """Keep the disk and the name."""
        self._disk = disk
        self._name = name

    def read(self) -> Any:
        """Read the document, or None where it does not exist.

        Raises
        ------
        DamagedStoreError
            If the file is damaged. Its name appears only after its contents
            are durable, so that a torn write cannot be the reason.
        """
        if self._name not in self._disk.names():
            return None
        blob = self._disk.read(self._name)
        body = blob[_HEADER.size :]
        header = _HEADER.pack(_MAGIC, len(body), zlib.crc32(body))
        if header != blob[: _HEADER.size]:
            raise DamagedStoreError(f'{self._name} has a wrong checksum')
        return unpack(body)

    def write(self, document: Any) -> None:
        """Replace the document durably."""
        body = pack(document)
        header = _HEADER.pack(_MAGIC, len(body), zlib.crc32(body))
        self._disk.replace(self._name, header + body)
