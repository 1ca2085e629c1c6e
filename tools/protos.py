"""Generate the peers' messages and stubs from the .proto file.

The generated code is committed; this tool and its generator are needed only
when the messages change: ``pip install grpcio-tools`` first.
"""

from __future__ import annotations

import pathlib
import sys

OUTPUT = pathlib.Path("src/endivegw/peers/_generated")
SOURCE = pathlib.Path("src/endivegw/peers")
NAME = "endivegw_peers"


def main() -> int:
    """Write both generated modules; return the generator's exit code."""
    from grpc_tools import protoc

    code: int = protoc.main(
        [
            "protoc",
            f"--proto_path={SOURCE}",
            f"--python_out={OUTPUT}",
            f"--grpclib_python_out={OUTPUT}",
            f"--pyi_out={OUTPUT}",
            f"{NAME}.proto",
        ]
    )
    stubs = OUTPUT / f"{NAME}_grpc.py"
    text = stubs.read_text()
    text = text.replace(
        f"import {NAME}_pb2", f"from endivegw.peers._generated import {NAME}_pb2"
    )
    stubs.write_text(text)
    return code


if __name__ == "__main__":
    sys.exit(main())
