"""Runs the launcher: `python -m lacewingcourse.testing.launcher`."""

from __future__ import annotations

from lacewingcourse.testing.cli import main

if __name__ == "__main__":
    main()
