"""An entry that forwards requests, and reaches its platform through ports."""
