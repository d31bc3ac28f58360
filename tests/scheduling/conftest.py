"""Fixtures of the scheduler's tests."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from apricotcart.endpoints.records import Endpoint
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.records import (
    Customer,
    QueuedRequest,
    ServiceClass,
)
from apricotcart.scheduling.scheduler import Scheduler

MakeScheduler = Callable[..., Scheduler]
MakeRequest = Callable[..., QueuedRequest]

CLASSES = [
    ServiceClass(name='high', tier=0, max_wait_s=20, total_s=60),
    ServiceClass(
        name='middle', tier=2, max_wait_s=20, total_s=60, min_share=0.1
    ),
    ServiceClass(name='low', tier=5, max_wait_s=30, total_s=90, min_share=0.1),
]


@pytest.fixture
def make_scheduler() -> MakeScheduler:
    """Return a function that builds a scheduler with one pool."""

    def build(
        slots: int = 1, count: int = 1, max_queue: int = 8, **fields: Any
    ) -> Scheduler:
        cfg = SchedulerConfig(max_queue=max_queue)
        scheduler = Scheduler.from_config(cfg, random.Random(1))
        endpoints = [
            Endpoint(name=f'e{number}', pool='p', slots=slots, **fields)
            for number in range(count)
        ]
        customers = [Customer(name='a'), Customer(name='b')]
        scheduler.configure(0, CLASSES, customers, endpoints)
        return scheduler

    return build


@pytest.fixture
def make_request() -> MakeRequest:
    """Return a function that builds a request."""

    def build(request_id: str, **fields: Any) -> QueuedRequest:
        defaults = {'customer': 'a', 'class_name': 'high', 'pool': 'p'}
        return QueuedRequest(request_id=request_id, **{**defaults, **fields})

    return build
