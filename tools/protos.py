"""Generate the messages and stubs of the peer protocol from its .proto file.

The generated code is committed, so this tool is needed only when the .proto file
changes. It requires grpcio-tools: ``pip install grpcio-tools``.
"""

from __future__ import annotations

import pathlib
import sys

OUTPUT = pathlib.Path("src/endivegw/peers/_generated")
SOURCE = pathlib.Path("src/endivegw/peers")
NAME = "endivegw_peers"


def main() -> int:
    """Write the generated modules and return the exit code of protoc."""
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
    # protoc imports the messages as a top-level module; make the import absolute.
    stubs = OUTPUT / f"{NAME}_grpc.py"
    text = stubs.read_text()
    text = text.replace(
        f"import {NAME}_pb2", f"from endivegw.peers._generated import {NAME}_pb2"
    )
    stubs.write_text(text)
    return code


if __name__ == "__main__":
    sys.exit(main())
