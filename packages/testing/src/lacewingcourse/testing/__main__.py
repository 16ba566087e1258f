"""Runs a stand-in: `python -m lacewingcourse.testing`."""

from __future__ import annotations

from lacewingcourse.testing.standin_cli import main

if __name__ == "__main__":
    main()
