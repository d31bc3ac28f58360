"""The replicated state machine: resources, orders, usage and fencing."""
