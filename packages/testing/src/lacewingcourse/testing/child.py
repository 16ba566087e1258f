"""Runs a module as a child of a launcher and ends when the launcher is gone.

`python -m lacewingcourse.testing.child MODULE ARGUMENT...` runs MODULE as
`python -m MODULE ARGUMENT...` would. Standard input is a pipe that only the launcher
holds open: its end means that the launcher ended, however that happened.
"""

from __future__ import annotations

import os
import runpy
import sys
import threading

#: Exit code of a child whose launcher is gone.
LAUNCHER_GONE = 71


def watch_launcher() -> None:
    """End this process when standard input ends."""
    while os.read(0, 1):
        pass
    os._exit(LAUNCHER_GONE)


def main() -> None:
    """Watch the launcher and run the module that the arguments name."""
    threading.Thread(target=watch_launcher, daemon=True).start()
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
