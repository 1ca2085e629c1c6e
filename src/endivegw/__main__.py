"""Run the ``endivegw`` command with ``python -m endivegw``."""

# Imported first, because it records the start time of the process.
import endivegw.process_start  # noqa: F401
from endivegw.cli import main

if __name__ == "__main__":
    main(prog_name="endivegw")
