"""Simulation of endpoint cost against late work, over several seeds."""
