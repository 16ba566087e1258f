"""Decisions of lacewingcourse: state machines without I/O, clocks or randomness."""
