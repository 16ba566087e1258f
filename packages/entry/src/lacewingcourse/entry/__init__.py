"""The process that callers and operators talk to."""
