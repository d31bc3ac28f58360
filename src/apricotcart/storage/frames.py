"""Binary form of a batch of entries in a segment."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import Entry
from apricotcart.storage.failures import DamagedStoreError

# Magic, payload length, first index, payload checksum.
_HEADER = struct.Struct('<4sIQI')
_CHECKSUM = struct.Struct('<I')
_HEADER_BYTES = _HEADER.size + _CHECKSUM.size
_MAGIC = b'ACL1'
# Written last, so that a batch whose write was cut short lacks it.
_END = b'END1'


def encode_batch(entries: Sequence[Entry]) -> bytes:
    """Encode consecutive entries as one frame."""
    payload = pack(
        [[entry.term, entry.kind, entry.payload] for entry in entries]
    )
    checksum = zlib.crc32(payload)
    header = _HEADER.pack(_MAGIC, len(payload), entries[0].index, checksum)
    header_checksum = _CHECKSUM.pack(zlib.crc32(header))
    return b''.join((header, header_checksum, payload, _END))


class FrameReader:
    """Reads the frames of one segment from its start.

    Each batch is synced before the next one is written, so that only the
    last frame can be torn. A torn frame is cut short, or its end reads as
    zeros. Any other frame with a wrong checksum has been damaged after it
    was acknowledged.

    Attributes
    ----------
    entries : list of Entry
        Entries of all whole frames.
    is_torn : bool
        Whether the segment ends with a torn frame.
    """

    __slots__ = ('_blob', '_name', '_offset', 'entries', 'is_torn')

    def __init__(self, name: str, blob: bytes) -> None:
        """Read all frames.

        Raises
        ------
        DamagedStoreError
            If a frame is damaged.
        """
        self._name = name
        self._blob = blob
        self._offset = 0
        self.entries: list[Entry] = []
        self.is_torn = False
        while self._offset < len(blob) and not self.is_torn:
            self._read_frame()

    def _read_frame(self) -> None:
        # The payload of a batch is never all zeros, so this also finds a
        # header that is cut short and padded with zeros. The view avoids a
        # copy of the rest of the segment for each frame.
        after_header = memoryview(self._blob)[self._offset + _HEADER_BYTES :]
        if not any(after_header):
            self.is_torn = True
            return
        length, first_index, checksum = self._read_header()
        start = self._offset + _HEADER_BYTES
        payload = self._blob[start : start + length]
        end = start + length + len(_END)
        if zlib.crc32(payload) == checksum and len(payload) == length:
            self._add(first_index, payload)
            self._check_end(end)
            self._offset = end
            return
        if self._is_cut_short(end):
            self.is_torn = True
            return
        raise self._damage('a batch has a wrong checksum')

    def _read_header(self) -> tuple[int, int, int]:
        header = self._blob[self._offset : self._offset + _HEADER.size]
        found = _CHECKSUM.unpack_from(self._blob, self._offset + _HEADER.size)
        if zlib.crc32(header) != found[0]:
            raise self._damage('a batch header has a wrong checksum')
        magic, length, first_index, checksum = _HEADER.unpack(header)
        if magic != _MAGIC:
            raise self._damage('a batch has an unknown format')
        return length, first_index, checksum

    def _check_end(self, end: int) -> None:
        if self._blob[end - len(_END) : end] == _END:
            return
        if end < len(self._blob):
            raise self._damage('a batch has a wrong end mark')
        # The batch is complete, but no other can follow it.
        self.is_torn = True

    def _is_cut_short(self, end: int) -> bool:
        if end > len(self._blob):
            return True
        mark = self._blob[end - len(_END) : end]
        return end == len(self._blob) and not any(mark)

    def _add(self, first_index: int, payload: bytes) -> None:
        if self.entries and self.entries[-1].index + 1 != first_index:
            raise self._damage('a batch is missing')
        for index, fields in enumerate(unpack(payload), start=first_index):
            term, kind, body = fields
            self.entries.append(Entry(index, term, kind, body))

    def _damage(self, message: str) -> DamagedStoreError:
        return DamagedStoreError(
            f'{self._name}: {message} at byte {self._offset}',
        )
