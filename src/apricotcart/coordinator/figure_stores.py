"""Parts of a coordinator that join the figures of gateways."""

from __future__ import annotations

import random

from apricotcart.coordinator.answer_times import AnswerTimesStore
from apricotcart.coordinator.customer_loads import JoinedCustomerLoads
from apricotcart.coordinator.newest_state import NewestState
from apricotcart.coordinator.shared_figures import FigureStore, FigureStores
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.stream_demands import StreamDemands


def build_stores(state: CoordinatorState, *stores: FigureStore) -> FigureStores:
    """Return all stores of figures of one coordinator.

    Parameters
    ----------
    state : CoordinatorState
        State that the replicated log has applied.
    stores : FigureStore
        Other parts that join figures.
    """
    return FigureStores(
        (
            AnswerTimesStore(),
            StreamDemands(),
            JoinedCustomerLoads(),
            NewestState(state, random.Random()),
            *stores,
        )
    )
