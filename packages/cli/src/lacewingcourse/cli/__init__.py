"""The lacewingcourse command."""
