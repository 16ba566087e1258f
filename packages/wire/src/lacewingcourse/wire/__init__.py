"""Typed messages between the processes of lacewingcourse, as JSON over HTTP."""
