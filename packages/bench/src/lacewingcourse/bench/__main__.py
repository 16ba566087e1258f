"""Runs the measurements: `python -m lacewingcourse.bench`."""

from __future__ import annotations

from lacewingcourse.bench.cli import main

if __name__ == "__main__":
    main()
