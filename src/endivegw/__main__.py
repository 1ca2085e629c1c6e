"""Let ``python -m endivegw`` be the same as the command ``endivegw``."""

import endivegw.process_start  # noqa: F401  first: it notes the time
from endivegw.cli import main

if __name__ == "__main__":
    main(prog_name="endivegw")
