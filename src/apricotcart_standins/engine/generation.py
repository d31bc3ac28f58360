"""Generation of chat completions by the engine stand-in."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from apricotcart_standins.api import (
    apply_request_faults,
    sleep_unless_disconnected,
)
from apricotcart_standins.engine.batch import Batch
from apricotcart_standins.engine.completion import Completion, other_completion
from apricotcart_standins.engine.load import LoadReports
from apricotcart_standins.engine.prefixes import PrefixCache, block_hashes
from apricotcart_standins.engine.streams import StreamTable
from apricotcart_standins.web import (
    JSON_TYPE,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    error_body,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

    from apricotcart_standins.engine.commands import CommandTable
    from apricotcart_standins.faults import FaultPlan, Faults
    from apricotcart_standins.web import Call

LOWEST_PRIORITY = 9

_EVENT_STREAM = 'text/event-stream'


class Generator:
    """Runs completions in the batch and sends their tokens.

    Parameters
    ----------
    options : argparse.Namespace
        Options of the engine's command line.
    faults : Faults
        Injected faults.
    commands : CommandTable
        Models that are loaded.
    cache : PrefixCache
        Cache of the prompt prefixes that need no prefill.
    """

    def __init__(
        self,
        options: argparse.Namespace,
        faults: Faults,
        commands: CommandTable,
        cache: PrefixCache,
    ) -> None:
        """Initialize an idle generator."""
        self._first_token_s: float = options.first_token_s
        self._prompt_rate: float = options.prompt_rate
        self._batch = Batch(
            options.slots,
            options.interval_s,
            options.batch_slowdown,
            options.token_rate,
        )
        self.load = LoadReports(self._batch, options.slots, options.load_lag_s)
        self._streams = StreamTable(options.resume_keep_s)
        self._faults = faults
        self._commands = commands
        self._cache = cache

    def complete(self, call: Call) -> None:
        """Answer a chat completion request."""
        plan = self._faults.plan_for(call)
        if apply_request_faults(plan, call):
            return
        try:
            completion = Completion.from_call(call)
        except (TypeError, ValueError, AttributeError) as exc:
            refusal = error_body('bad_request', str(exc))
            call.reply(STATUS_BAD_REQUEST, refusal)
            return
        if self._refuse(call, completion):
            return
        with self._hold_slot(call, completion):
            self._generate(call, completion, plan)

    def _refuse(self, call: Call, completion: Completion) -> bool:
        if completion.model not in self._commands.models():
            call.reply(STATUS_NOT_FOUND, error_body('model_not_found'))
            return True
        unknown = not self._streams.is_resumable(completion)
        if completion.resume_from and unknown:
            call.reply(STATUS_CONFLICT, error_body('resume_unknown'))
            return True
        return False

    @contextmanager
    def _hold_slot(self, call: Call, completion: Completion) -> Iterator[None]:
        if not self._batch.acquire(_priority(call), call.is_disconnected):
            call.cut()
        try:
            yield
        except BaseException:
            self._finish(completion)
            raise
        self._finish(completion)

    def _finish(self, completion: Completion) -> None:
        self._batch.release()
        self._streams.last_completed = completion

    def _generate(
        self,
        call: Call,
        completion: Completion,
        plan: FaultPlan,
    ) -> None:
        completion.cached_tokens = self._cache.cached_tokens(completion.words)
        self._streams.add(completion)
        sleep_unless_disconnected(call, self._prefill_s(completion) * plan.slow)
        self._cache.store(block_hashes(completion.words))
        answer = completion
        if plan.swap:
            answer = self._streams.last_completed or other_completion(
                completion.model
            )
        if completion.is_streamed:
            self._send_stream(call, answer, plan)
        else:
            self._send_response(call, answer, plan)

    def _prefill_s(self, completion: Completion) -> float:
        if completion.resume_from:
            return 0
        uncached_tokens = len(completion.words) - completion.cached_tokens
        return self._first_token_s + uncached_tokens / self._prompt_rate

    def _send_response(
        self,
        call: Call,
        answer: Completion,
        plan: FaultPlan,
    ) -> None:
        for _ in range(1, answer.length):
            self._wait_token(call, plan)
        body = answer.encode_response()
        if plan.truncate is not None:
            sent = min(plan.truncate, len(body) - 1)
            call.reply_truncated(JSON_TYPE, body, sent)
        call.reply_bytes(STATUS_OK, JSON_TYPE, body, _identity_headers(answer))

    def _send_stream(
        self, call: Call, answer: Completion, plan: FaultPlan
    ) -> None:
        call.start_stream(_EVENT_STREAM, _identity_headers(answer))
        for sent, index in enumerate(range(answer.resume_from, answer.length)):
            if sent == plan.truncate:
                _end_truncated_stream(call, plan)
                return
            if sent:
                self._wait_token(call, plan)
            call.send_chunk(answer.encode_token_event(index))
        call.send_chunk(answer.encode_final_events())
        call.end_stream()

    def _wait_token(self, call: Call, plan: FaultPlan) -> None:
        time.sleep(self._batch.interval_s() * plan.slow)
        self._faults.wait_while_frozen()
        self.load.count_token()
        if call.is_disconnected():
            call.cut()


def _end_truncated_stream(call: Call, plan: FaultPlan) -> None:
    if not plan.truncate_clean:
        call.cut()
    call.end_stream()


def _identity_headers(answer: Completion) -> tuple[tuple[str, str], ...]:
    return (('X-Request-Id', answer.request_id),)


def _priority(call: Call) -> int:
    text = call.header('X-Priority')
    return int(text) if text.isdigit() else LOWEST_PRIORITY
