"""The replicated state machine of the control hosts."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.codec.packing import pack, unpack
from apricotcart.errors.tree import ApricotcartError
from apricotcart.state.commands import CommandRunner
from apricotcart.state.limits import Limits
from apricotcart.state.order_records import OrderRecord
from apricotcart.state.records import Event, Resource
from apricotcart.state.replies import reply_of
from apricotcart.state.tables import Tables
from apricotcart.state.usage_windows import UsageReport


class ClusterState:
    """Resources, orders, usage and fencing, changed by commands only.

    Equal commands in equal order give equal states and replies: time comes
    from the command's ``at_ms``, and never goes back.

    Parameters
    ----------
    limits : Limits or None
        Bounds; equal on all control hosts of a cluster.
    """

    __slots__ = ('_commands', '_limits', 'tables')

    def __init__(self, limits: Limits | None = None) -> None:
        """Start empty."""
        self._limits = limits or Limits()
        self._adopt(Tables(self._limits))

    @property
    def revision(self) -> int:
        """Give the revision of the last change of any resource."""
        return self.tables.resources.revision

    @property
    def now_ms(self) -> int:
        """Give the latest time of any command."""
        return self.tables.now_ms

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and give the packed reply.

        A malformed or refused command changes nothing and gets an error
        reply; it raises nothing, since every control host would fail.
        """
        self.tables.applied_index = index
        # The consensus layer commits empty entries of its own.
        if not command:
            return pack({'ok': True})
        try:
            reply = self._commands.run(unpack(command))
        except ApricotcartError as exc:
            reply = reply_of(exc)
        return pack(reply)

    def snapshot(self) -> bytes:
        """Give the whole state."""
        return pack(self.tables.to_wire())

    def restore(self, blob: bytes) -> None:
        """Replace the state by a snapshot.

        Raises
        ------
        CodecError
            If the bytes are no snapshot of this format; the state stays.
        """
        self._adopt(Tables.from_wire(unpack(blob), self._limits))

    def get(self, kind: str, name: str) -> Resource | None:
        """Give a resource, or None if there is none."""
        return self.tables.resources.store.get(kind, name)

    def list(self, kind: str) -> Sequence[Resource]:
        """Give the resources of a kind by name."""
        return sorted(
            self.tables.resources.store.all_of(kind),
            key=lambda resource: resource.name,
        )

    def events_since(self, revision: int) -> Sequence[Event] | None:
        """Give the later events, None if a snapshot is needed instead."""
        return self.tables.resources.events_since(revision)

    def all_resources(self) -> tuple[int, Sequence[Resource]]:
        """Give the revision and all resources, referenced kinds first."""
        return self.revision, tuple(self.tables.resources.store)

    def unfinished_orders(self) -> Sequence[OrderRecord]:
        """Give the orders that are not done, by their last change."""
        return tuple(self.tables.orders.store.unfinished())

    def windows_due(self, now_ms: int) -> Sequence[int]:
        """Give the usage windows that can be closed at a wall-clock time."""
        return self.tables.usage.windows.due_to_close(now_ms)

    def reports_due(self, max_reports: int) -> Sequence[UsageReport]:
        """Give closed usage figures that are not marked as reported."""
        return self.tables.usage.reports_due(max_reports)

    def _adopt(self, tables: Tables) -> None:
        self.tables = tables
        self._commands = CommandRunner(tables)
