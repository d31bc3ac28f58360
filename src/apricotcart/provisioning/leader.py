"""All provisioning duties of the leader, as one object for its loop."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from apricotcart.provisioning.api import (
        Answer,
        LeaderTask,
        Proposal,
        Request,
    )
    from apricotcart.provisioning.authority import Authority
    from apricotcart.provisioning.outbox import Outbox, Reply


class LeaderDuties:
    """Runs the provisioning tasks while this host is active.

    The loop on the control host calls :meth:`tick`, proposes the commands that
    :meth:`take_proposals` returns, and sends the requests that
    :meth:`take_requests` returns from worker threads. Right before it writes
    a request, it calls :meth:`deadline_for`.

    Parameters
    ----------
    authority : Authority
        Decides whether this host may act.
    outbox : Outbox
        Shared by the authority and all tasks.
    tasks : sequence of LeaderTask
        Tasks, run in this order on each tick.
    """

    __slots__ = ('_authority', '_outbox', '_reset_for_token', '_tasks')

    def __init__(
        self,
        authority: Authority,
        outbox: Outbox,
        tasks: Sequence[LeaderTask],
    ) -> None:
        self._authority = authority
        self._outbox = outbox
        self._tasks = tasks
        self._reset_for_token = 0

    @property
    def fencing_token(self) -> int:
        """Fencing token held; 0 without one."""
        return self._authority.fencing_token

    def tick(self, now: float) -> None:
        """Update the authority and run the tasks while active."""
        if not self._authority.tick(now):
            return
        if self._reset_for_token != self._authority.fencing_token:
            self._reset_for_token = self._authority.fencing_token
            for outdated in self._tasks:
                outdated.reset()
        for task in self._tasks:
            task.tick(now)

    def take_proposals(self) -> list[Proposal]:
        """Remove and return the commands to propose."""
        return self._outbox.take_proposals()

    def take_requests(self) -> list[Request]:
        """Remove and return the requests to send."""
        return self._outbox.take_requests()

    def deadline_for(self, now: float, request: Request) -> float | None:
        """Return the deadline of a request that is sent now.

        Parameters
        ----------
        now : float
            Fresh reading of the monotonic clock, in seconds.
        request : Request
            Request about to be written.

        Returns
        -------
        float or None
            Monotonic time in seconds, or None if the request must not be
            sent; the client then returns an answer with the code
            ``expired``.
        """
        if request.fenced and request.body['fencing'] != self.fencing_token:
            return None
        return self._authority.send_deadline(now, request.extra_wait_s)

    def on_reply(self, now: float, ticket: int, reply: Reply) -> None:
        """Handle the reply to a command; None if the outcome is unknown."""
        self._outbox.on_reply(now, ticket, reply)

    def on_answer(self, now: float, ticket: int, answer: Answer) -> None:
        """Handle the answer to a request."""
        self._outbox.on_answer(now, ticket, answer)
        if answer.is_stale:
            self._authority.on_stale_token()
