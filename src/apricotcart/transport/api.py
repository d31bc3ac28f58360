"""Interfaces of the transports between the processes of the system."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

WireMessage = dict[str, Any]

# Large enough for a snapshot of the configuration.
MAX_MESSAGE_BYTES = 33_554_432


class RequestHandler(ABC):
    """Answers requests of other processes."""

    @abstractmethod
    def answer(self, message: WireMessage) -> WireMessage:
        """Return the answer to a request; called from several threads."""


class RequestClient(ABC):
    """Sends requests to another process."""

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
        """Close the connection."""


class PeerLinks(ABC):
    """Sends one-way messages, which may be lost, to peers."""

    @abstractmethod
    def send(self, address: str, message: WireMessage) -> None:
        """Queue a message for a peer; drop it if the peer's queue is full."""

    @abstractmethod
    def receive(self, timeout_s: float) -> WireMessage | None:
        """Return the next message, or None if the timeout expires."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
