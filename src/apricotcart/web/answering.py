"""Passes requests to the application, and its answers to the connection."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from typing import Any

from cheroot import wsgi

from apricotcart.responses.body_buffer import BodyBuffer
from apricotcart.web.request import CONNECTION_KEY

# Chunks that are iterated without waiting.
WholeChunks = BodyBuffer | list[bytes] | tuple[bytes, ...]


class ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the connection to the application.

    Answers that are whole are queued, so that no thread waits for a caller to
    read them.
    """

    def get_environ(self) -> Any:
        """Return the WSGI environment, including the connection."""
        self.req.open_body()
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ

    def respond(self) -> None:
        """Call the application, and write its response or queue it."""
        app = self.req.server.wsgi_app
        response = app(self.env, self.start_response)
        with ExitStack() as stack:
            stack.callback(getattr(response, 'close', _do_nothing))
            stack.callback(self.req.ensure_headers_sent)
            chunks = _whole_chunks(response)
            writer = self.req.conn.answer_writer
            if chunks is None or writer is None:
                for chunk in filter(None, response):
                    self.write(chunk)
            else:
                writer.start_queueing(getattr(chunks, 'held', None))
                self.req.ensure_headers_sent()
                writer.queue(self._framed(chunks))

    def _framed(self, chunks: WholeChunks) -> Iterator[bytes]:
        """Yield the chunks as they go over the wire."""
        if self.req.is_head:
            return
        for chunk in filter(None, chunks):
            if self.req.chunked_write:
                yield b'%x\r\n%b\r\n' % (len(chunk), chunk)
            else:
                yield chunk


def _whole_chunks(response: Any) -> WholeChunks | None:
    """Return the chunks of a response that is whole, None for others."""
    chunks = getattr(response, 'chunks', response)
    return chunks if isinstance(chunks, BodyBuffer | list | tuple) else None


def _do_nothing() -> None:
    """Close a response that holds nothing."""
