"""Interfaces of the transports between the project's own processes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

WireMessage = dict[str, Any]

# A snapshot of the configuration fits into one message.
MAX_MESSAGE_BYTES = 33_554_432


class RequestHandler(ABC):
    """Answers requests of other processes."""

    @abstractmethod
    def answer(self, message: WireMessage) -> WireMessage:
        """Give the answer to one request; called from several threads."""


class RequestClient(ABC):
    """Sends requests to one other process."""

    @abstractmethod
    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        """Send a request and wait for its answer.

        Raises
        ------
        UnavailableError
            If no answer came within ``timeout_s`` seconds.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the connection."""


class PeerLinks(ABC):
    """Sends one-way messages, which may be lost, to peers by their id."""

    @abstractmethod
    def send(self, address: str, message: WireMessage) -> None:
        """Queue a message for a peer, or drop it if its queue is full."""

    @abstractmethod
    def receive(self, timeout_s: float) -> WireMessage | None:
        """Wait for the next message; None if none came in time."""

    @abstractmethod
    def close(self) -> None:
        """Release all connections."""
