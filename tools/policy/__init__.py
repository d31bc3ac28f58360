"""Policy measurement: the scheduler against baselines on fake engines."""
