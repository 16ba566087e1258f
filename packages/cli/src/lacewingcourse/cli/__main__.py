"""Runs the command: `python -m lacewingcourse.cli`."""

from __future__ import annotations

from lacewingcourse.cli.application import main

if __name__ == "__main__":
    main()
