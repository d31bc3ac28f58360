"""Fault soak over real processes; checks what callers and endpoints see."""
