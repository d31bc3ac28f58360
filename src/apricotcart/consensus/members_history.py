"""History of the cluster members in the log."""

from __future__ import annotations

from collections.abc import Iterable

from apricotcart.consensus.api import Entry, EntryKind
from apricotcart.consensus.members import Members


class MembersHistory:
    """Members by the index of the log entry that set them.

    A members entry takes effect as soon as it is in the log, committed or
    not.
    """

    __slots__ = ('_changes',)

    def __init__(self, index: int, members: Members) -> None:
        """Initialize with the members at the base of the log."""
        self._changes = [(index, members)]

    @property
    def members(self) -> Members:
        """Current members."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that set the current members."""
        return self._changes[-1][0]

    def at(self, index: int) -> Members:
        """Return the members in effect at a log index."""
        found = self._changes[0][1]
        for entry_index, members in self._changes:
            if entry_index <= index:
                found = members
        return found

    def extend(self, entries: Iterable[Entry]) -> None:
        """Add the members entries among new log entries."""
        for entry in entries:
            if entry.kind == EntryKind.MEMBERS:
                members = Members.from_bytes(entry.payload)
                self._changes.append((entry.index, members))

    def truncate(self, from_index: int) -> None:
        """Remove the changes from ``from_index`` on."""
        first = self._changes[0]
        self._changes = [
            change for change in self._changes if change[0] < from_index
        ] or [first]

    def compact(self, base_index: int) -> None:
        """Remove the changes before the base of the log."""
        base = (base_index, self.at(base_index))
        later = [change for change in self._changes if change[0] > base_index]
        self._changes = [base, *later]
