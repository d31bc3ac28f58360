"""Checksummed documents, each replaced atomically as a whole."""

from __future__ import annotations

import struct
import zlib
from typing import Any

from apricotcart.codec.packing import pack, unpack
from apricotcart.storage.disk import Disk
from apricotcart.storage.failures import DamagedStoreError

# Magic number, body length in bytes, CRC-32 of the body.
_HEADER = struct.Struct('<4sQI')
_MAGIC = b'ACD1'


class DocumentFile:
    """A file that holds one msgpack document and its checksum."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk = disk
        self._name = name

    def read(self) -> Any:
        """Return the document, or None if the file does not exist.

        Raises
        ------
        DamagedStoreError
            If the magic number, length or checksum does not match. A torn
            write cannot cause this: the file is renamed into place only
            after its contents are durable.
        """
        if self._name not in self._disk.file_names():
            return None
        blob = self._disk.read(self._name)
        body = blob[_HEADER.size :]
        header = _HEADER.pack(_MAGIC, len(body), zlib.crc32(body))
        if header != blob[: _HEADER.size]:
            raise DamagedStoreError(
                f'{self._name} has a wrong format, length or checksum'
            )
        return unpack(body)

    def write(self, document: Any) -> None:
        """Atomically and durably replace the document."""
        body = pack(document)
        header = _HEADER.pack(_MAGIC, len(body), zlib.crc32(body))
        self._disk.replace(self._name, header + body)
