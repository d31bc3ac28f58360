"""HTTP server that knows its open connections."""

from __future__ import annotations

from typing import Any

from cheroot.wsgi import Server

from apricotcart.web.open_connections import Activity, OpenConnections


class TrackingServer(Server):
    """HTTP server that keeps track of what its connections are doing.

    Attributes
    ----------
    open_connections : OpenConnections
        The connections from the accept to the close.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.open_connections = OpenConnections()

    def process_conn(self, conn: Any) -> None:
        """Queue a connection that has a request to read."""
        conn.activity = Activity.QUEUED
        super().process_conn(conn)

    def put_conn(self, conn: Any) -> None:
        """Keep a connection for its next request."""
        conn.activity = Activity.IDLE
        super().put_conn(conn)
