"""Messages between Raft nodes and their wire format."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from apricotcart.codec.record import Record
from apricotcart.errors.tree import CodecError

_KIND = 'kind'


class Message(Record):
    """Base class of the messages between two nodes.

    Attributes
    ----------
    from_id, to_id : str
        Identities of the sender and the receiver.
    term : int
        Term of the sender; for a pre-vote, the term of the election that
        would follow.
    """

    __slots__ = ('from_id', 'term', 'to_id')

    def __init__(self, *, from_id: str, to_id: str, term: int) -> None:
        self.from_id = from_id
        self.to_id = to_id
        self.term = term

    def to_wire(self) -> dict[str, Any]:
        """Return the fields and the kind of the message."""
        wire = {name: getattr(self, name) for name in Message.__slots__}
        wire.update(super().to_wire())
        wire[_KIND] = _KIND_BY_TYPE[type(self)]
        return wire


class VoteRequest(Message):
    """Requests a vote, or with ``pre`` asks if a vote would be granted."""

    __slots__ = ('last_index', 'last_term', 'pre')

    def __init__(
        self,
        *,
        last_index: int,
        last_term: int,
        pre: bool,
        **header: Any,
    ) -> None:
        super().__init__(**header)
        self.last_index = last_index
        self.last_term = last_term
        self.pre = pre


class VoteReply(Message):
    """Reply to a `VoteRequest`; a granted pre-vote repeats its term."""

    __slots__ = ('granted', 'pre')

    def __init__(self, *, granted: bool, pre: bool, **header: Any) -> None:
        super().__init__(**header)
        self.granted = granted
        self.pre = pre


class AppendRequest(Message):
    """Entries after ``prev_index``; a heartbeat if there are none.

    Attributes
    ----------
    round_no : int
        The leader's current heartbeat round, repeated in the reply.
    entries : list of [term, kind, payload]
        Consecutive entries.
    """

    __slots__ = (
        'commit_index',
        'entries',
        'prev_index',
        'prev_term',
        'round_no',
    )

    def __init__(
        self,
        *,
        round_no: int,
        prev_index: int,
        prev_term: int,
        commit_index: int,
        entries: list[list[Any]],
        **header: Any,
    ) -> None:
        super().__init__(**header)
        self.round_no = round_no
        self.prev_index = prev_index
        self.prev_term = prev_term
        self.commit_index = commit_index
        self.entries = entries


class AppendReply(Message):
    """Reply to an `AppendRequest` or to the last chunk of a snapshot.

    Attributes
    ----------
    accepted : bool
        Whether the entry at ``prev_index`` matched.
    prev_index : int
        Value from the request.
    match_index : int
        If accepted, index of the last entry known to match the leader's
        log; otherwise, the last index that may match.
    """

    __slots__ = ('accepted', 'match_index', 'prev_index', 'round_no')

    def __init__(
        self,
        *,
        round_no: int,
        accepted: bool,
        prev_index: int,
        match_index: int,
        **header: Any,
    ) -> None:
        super().__init__(**header)
        self.round_no = round_no
        self.accepted = accepted
        self.prev_index = prev_index
        self.match_index = match_index


class SnapshotChunk(Message):
    """Part of a snapshot, starting at byte ``offset`` of ``size``."""

    __slots__ = (
        'chunk',
        'index',
        'members',
        'offset',
        'round_no',
        'size',
        'snapshot_term',
    )

    def __init__(
        self,
        *,
        round_no: int,
        index: int,
        snapshot_term: int,
        members: Mapping[str, Any],
        offset: int,
        size: int,
        chunk: bytes,
        **header: Any,
    ) -> None:
        super().__init__(**header)
        self.round_no = round_no
        self.index = index
        self.snapshot_term = snapshot_term
        self.members = members
        self.offset = offset
        self.size = size
        self.chunk = chunk


class SnapshotReply(Message):
    """Reports the offset of the next byte that the receiver needs."""

    __slots__ = ('index', 'offset', 'round_no')

    def __init__(
        self,
        *,
        round_no: int,
        index: int,
        offset: int,
        **header: Any,
    ) -> None:
        super().__init__(**header)
        self.round_no = round_no
        self.index = index
        self.offset = offset


_TYPES: Mapping[str, type[Message]] = MappingProxyType(
    {
        'vote': VoteRequest,
        'vote_reply': VoteReply,
        'append': AppendRequest,
        'append_reply': AppendReply,
        'snapshot': SnapshotChunk,
        'snapshot_reply': SnapshotReply,
    }
)
_KIND_BY_TYPE: Mapping[type[Message], str] = MappingProxyType(
    {message_type: kind for kind, message_type in _TYPES.items()}
)


def message_from_wire(wire: Mapping[str, Any]) -> Message:
    """Decode a message.

    Raises
    ------
    CodecError
        If the kind is unknown or the fields are not those of the kind.
    """
    fields = dict(wire)
    message_type = _TYPES.get(fields.pop(_KIND, ''))
    if message_type is None:
        raise CodecError(
            f'unknown kind of consensus message: {wire.get(_KIND)!r}'
        )
    try:
        return message_type.from_wire(fields)
    except TypeError as exc:
        raise CodecError(
            f'invalid fields of a consensus message: {exc}'
        ) from exc
