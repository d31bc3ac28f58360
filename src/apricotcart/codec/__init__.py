"""Records, their wire form and sealed envelopes."""
