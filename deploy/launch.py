"""Run a router from a checkout, without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from endivegw.platform.command import platform_router  # noqa: E402

if __name__ == "__main__":
    platform_router()
