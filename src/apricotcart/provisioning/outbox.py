"""Queues of outgoing commands and requests with their callbacks."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any, TypeAlias

from apricotcart.provisioning.api import Answer, Proposal, Request

Reply: TypeAlias = dict[str, Any] | None
OnReply: TypeAlias = Callable[[float, Reply], None]
OnAnswer: TypeAlias = Callable[[float, Answer], None]


class Outbox:
    """Numbers outgoing messages and passes each reply to its callback."""

    __slots__ = (
        '_answer_callbacks',
        '_proposals',
        '_reply_callbacks',
        '_requests',
        '_tickets',
    )

    def __init__(self) -> None:
        self._tickets = count(1)
        self._proposals: list[Proposal] = []
        self._requests: list[Request] = []
        self._reply_callbacks: dict[int, OnReply] = {}
        self._answer_callbacks: dict[int, OnAnswer] = {}

    def propose(self, command: dict[str, Any], on_reply: OnReply) -> int:
        """Queue a command for the replicated state.

        Parameters
        ----------
        command : dict
            The command without ``at_ms``.
        on_reply : Callable
            Called with the time and the reply, or None if the outcome is
            unknown.

        Returns
        -------
        int
            The ticket.
        """
        ticket = next(self._tickets)
        self._reply_callbacks[ticket] = on_reply
        self._proposals.append(Proposal(ticket=ticket, command=command))
        return ticket

    def send(self, on_answer: OnAnswer, **fields: Any) -> int:
        """Queue a request.

        Parameters
        ----------
        on_answer : Callable
            Called with the time and the answer.
        **fields
            Fields of the request except its ticket.

        Returns
        -------
        int
            The ticket.
        """
        ticket = next(self._tickets)
        self._answer_callbacks[ticket] = on_answer
        self._requests.append(Request(ticket=ticket, **fields))
        return ticket

    def take_proposals(self) -> list[Proposal]:
        """Remove and return the queued commands."""
        queued = self._proposals
        self._proposals = []
        return queued

    def take_requests(self) -> list[Request]:
        """Remove and return the queued requests."""
        queued = self._requests
        self._requests = []
        return queued

    def on_reply(self, now: float, ticket: int, reply: Reply) -> None:
        """Pass the reply to a command to its callback, if there is one."""
        callback = self._reply_callbacks.pop(ticket, None)
        if callback:
            callback(now, reply)

    def on_answer(self, now: float, ticket: int, answer: Answer) -> None:
        """Pass the answer to a request to its callback, if there is one."""
        callback = self._answer_callbacks.pop(ticket, None)
        if callback:
            callback(now, answer)

    def clear(self) -> None:
        """Discard all queued messages and all callbacks."""
        self._proposals.clear()
        self._requests.clear()
        self._reply_callbacks.clear()
        self._answer_callbacks.clear()
