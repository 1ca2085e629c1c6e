"""Let ``python -m endivegw`` be the same as the command ``endivegw``."""

from endivegw.cli import main

if __name__ == "__main__":
    main(prog_name="endivegw")
