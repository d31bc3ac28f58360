"""HTTP application of the engine stand-in."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from apricotcart_standins.api import (
    StandIn,
    apply_request_faults,
    reply_not_found,
)
from apricotcart_standins.engine.commands import CommandTable
from apricotcart_standins.engine.completion import Completion
from apricotcart_standins.engine.generation import Generator
from apricotcart_standins.engine.kvcache import export_blocks, import_blocks
from apricotcart_standins.engine.prefixes import PrefixCache, block_hashes
from apricotcart_standins.web import STATUS_BAD_REQUEST, STATUS_OK, error_body

if TYPE_CHECKING:
    import argparse

    from apricotcart_standins.web import Call

_BYTES_TYPE = 'application/octet-stream'


class EngineStandIn(StandIn):
    """Inference engine with an OpenAI-style API."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Initialize the engine from the options of the command line."""
        super().__init__()
        self._cache = PrefixCache(
            options.cache_blocks,
            options.cache_event_delay_s,
            options.cache_event_gap,
            random.Random(options.seed),
        )
        self._commands = CommandTable(
            options.models.split(','),
            checks_fencing=not options.ignore_fencing,
            load_s=options.load_s,
            weight_store=options.weight_store,
        )
        self._generator = Generator(
            options,
            self.faults,
            self._commands,
            self._cache,
        )
        self._routes = {
            '/v1/chat/completions': self._generator.complete,
            '/v1/models': self._list_models,
            '/load': self._report_load,
            '/orders': self._execute_command,
            '/cache-events': self._list_cache_events,
            '/kv/export': self._export,
            '/kv/import': self._import,
        }

    @classmethod
    def from_options(cls, options: argparse.Namespace) -> EngineStandIn:
        """Build the stand-in from the options of the command line."""
        return cls(options)

    def answer(self, call: Call) -> None:
        """Route a request to its handler."""
        self.faults.wait_while_frozen()
        self._routes.get(call.path, reply_not_found)(call)

    def _list_models(self, call: Call) -> None:
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'stand-in'}
            for name in self._commands.models()
        ]
        call.reply(STATUS_OK, {'object': 'list', 'data': models})

    def _report_load(self, call: Call) -> None:
        call.reply(STATUS_OK, self._generator.load.report())

    def _execute_command(self, call: Call) -> None:
        if call.method == 'GET':
            call.reply(STATUS_OK, {'orders': self._commands.records})
            return
        plan = self.faults.plan_for(call)
        if apply_request_faults(plan, call):
            return
        status, body = self._commands.execute(call.json())
        if plan.fail_after:
            call.cut()
        call.reply(status, body)

    def _list_cache_events(self, call: Call) -> None:
        after = int(call.query.get('after', 0))
        events = self._cache.events_after(after)
        call.reply(STATUS_OK, {'events': events})

    def _export(self, call: Call) -> None:
        completion = Completion.from_call(call)
        blocks = self._cache.cached_blocks(block_hashes(completion.words))
        call.reply_bytes(STATUS_OK, _BYTES_TYPE, export_blocks(blocks))

    def _import(self, call: Call) -> None:
        blocks = import_blocks(call.body)
        if blocks is None:
            call.reply(STATUS_BAD_REQUEST, error_body('bad_kv_cache'))
            return
        self._cache.store(blocks)
        call.reply(STATUS_OK, {'blocks': len(blocks)})
