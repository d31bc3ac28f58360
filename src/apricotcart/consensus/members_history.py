"""The members set by the entries that the log holds."""

from __future__ import annotations

from collections.abc import Iterable

from apricotcart.consensus.api import Entry, EntryKind
from apricotcart.consensus.members import Members


class MembersHistory:
    """Members by the index of the entry that set them.

    A members entry is in force as soon as the log holds it, whether it is
    committed or not.
    """

    __slots__ = ('_changes',)

    def __init__(self, index: int, members: Members) -> None:
        """Start with the members at the base of the log."""
        self._changes = [(index, members)]

    @property
    def members(self) -> Members:
        """Members in force."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that set the members in force."""
        return self._changes[-1][0]

    def at(self, index: int) -> Members:
        """Give the members in force at an index of the log."""
        found = self._changes[0][1]
        for position, members in self._changes:
            if position <= index:
                found = members
        return found

    def extend(self, entries: Iterable[Entry]) -> None:
        """Note the members entries among new entries."""
        for entry in entries:
            if entry.kind == EntryKind.MEMBERS:
                members = Members.from_bytes(entry.payload)
                self._changes.append((entry.index, members))

    def truncate(self, from_index: int) -> None:
        """Forget the changes at ``from_index`` and after it."""
        first = self._changes[0]
        self._changes = [
            change for change in self._changes if change[0] < from_index
        ] or [first]

    def compact(self, base_index: int) -> None:
        """Forget the changes before the base of the log."""
        base = (base_index, self.at(base_index))
        later = [change for change in self._changes if change[0] > base_index]
        self._changes = [base, *later]
