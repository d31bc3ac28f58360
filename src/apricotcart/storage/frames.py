"""Binary encoding of batches of log entries in a segment file."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import Entry
from apricotcart.storage.failures import DamagedStoreError

# Magic number, payload length, index of the first entry, payload CRC-32.
_HEADER = struct.Struct('<4sIQI')
_CHECKSUM = struct.Struct('<I')
_HEADER_BYTES = _HEADER.size + _CHECKSUM.size
_MAGIC = b'ACL1'
# Written last, so that a partially written batch lacks it.
_END_MARK = b'END1'


def encode_batch(entries: Sequence[Entry]) -> bytes:
    """Encode consecutive entries as one frame."""
    payload = pack(
        [[entry.term, entry.kind, entry.payload] for entry in entries]
    )
    checksum = zlib.crc32(payload)
    header = _HEADER.pack(_MAGIC, len(payload), entries[0].index, checksum)
    header_checksum = _CHECKSUM.pack(zlib.crc32(header))
    return b''.join((header, header_checksum, payload, _END_MARK))


class FrameReader:
    """Decodes the frames of one segment.

    Each batch is synced before the next one is written, so only the last
    frame can be torn by a crash. A torn frame is truncated or ends in zeros.
    Any other checksum mismatch means that acknowledged data is damaged.

    Attributes
    ----------
    entries : list of Entry
        Entries of all complete frames.
    is_torn : bool
        Whether the segment ends with a torn frame.
    """

    __slots__ = ('_blob', '_name', '_offset', 'entries', 'is_torn')

    def __init__(self, name: str, blob: bytes) -> None:
        """Decode all frames.

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
        # The payload of a batch is never all zeros, so this also detects a
        # truncated header that is padded with zeros. The memoryview avoids
        # copying the rest of the segment for each frame.
        after_header = memoryview(self._blob)[self._offset + _HEADER_BYTES :]
        if not any(after_header):
            self.is_torn = True
            return
        length, first_index, checksum = self._read_header()
        start = self._offset + _HEADER_BYTES
        payload = self._blob[start : start + length]
        end = start + length + len(_END_MARK)
        if zlib.crc32(payload) == checksum and len(payload) == length:
            self._append_entries(first_index, payload)
            self._check_end(end)
            self._offset = end
            return
        if self._is_cut_short(end):
            self.is_torn = True
            return
        raise self._damaged('checksum mismatch in a batch payload')

    def _read_header(self) -> tuple[int, int, int]:
        header = self._blob[self._offset : self._offset + _HEADER.size]
        found = _CHECKSUM.unpack_from(self._blob, self._offset + _HEADER.size)
        if zlib.crc32(header) != found[0]:
            raise self._damaged('checksum mismatch in a batch header')
        magic, length, first_index, checksum = _HEADER.unpack(header)
        if magic != _MAGIC:
            raise self._damaged('unknown format of a batch')
        return length, first_index, checksum

    def _check_end(self, end: int) -> None:
        if self._blob[end - len(_END_MARK) : end] == _END_MARK:
            return
        if end < len(self._blob):
            raise self._damaged('invalid end mark of a batch')
        # The batch is complete, but must be rewritten before the next append.
        self.is_torn = True

    def _is_cut_short(self, end: int) -> bool:
        if end > len(self._blob):
            return True
        mark = self._blob[end - len(_END_MARK) : end]
        return end == len(self._blob) and not any(mark)

    def _append_entries(self, first_index: int, payload: bytes) -> None:
        if self.entries and self.entries[-1].index + 1 != first_index:
            raise self._damaged('gap before a batch of entries')
        for index, fields in enumerate(unpack(payload), start=first_index):
            term, kind, body = fields
            self.entries.append(Entry(index, term, kind, body))

    def _damaged(self, message: str) -> DamagedStoreError:
        return DamagedStoreError(
            f'{self._name}: {message} at byte {self._offset}',
        )
