"""Run a router from a checkout, without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

# Imported first because the module records the start time of the process.
import endivegw.process_start  # noqa: E402, F401
from endivegw.hangups import record_hangups  # noqa: E402

# Called before libraries are imported, which takes most of the start.
record_hangups()

from endivegw.platform.command import platform_router  # noqa: E402

if __name__ == "__main__":
    platform_router()
