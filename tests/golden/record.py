"""Records the goldens of the wire: python tests/golden/record.py REVISION

REVISION is the one whose code is recorded; each file names it. Goldens are recorded before a change that must leave the
wire as it is, never to make a failing comparison pass.
"""

from __future__ import annotations

import base64
import json
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).parent
TEXT, BASE64 = "text", "base64"


def encode(area: str, name: str, data: bytes, messages: dict) -> object:
    """Return a golden's JSON value: lines of text (latin-1 keeps each byte), or a protobuf message's text and bytes."""
    if area not in messages:
        return data.decode("latin-1").splitlines(keepends=True)
    from google.protobuf import descriptor_pool, text_format

    message = messages[area](name).FromString(data)
    text = text_format.MessageToString(message, descriptor_pool=descriptor_pool.Default())
    text = re.sub(r"\n *\}", " }", text)  # a closing brace on the last line of its block halves the lines
    return {TEXT: text.splitlines(), BASE64: base64.b64encode(data).decode()}


def decode(value: object) -> bytes:
    """Return the bytes of a golden from either form of its JSON value."""
    if isinstance(value, dict):
        return base64.b64decode(value[BASE64])
    return "".join(value).encode("latin-1")


def load(area: str) -> dict[str, bytes]:
    table = json.loads((HERE / f"{area}.json").read_text(encoding="utf-8"))
    return {name: decode(value) for name, value in table["goldens"].items()}


def main(revision: str) -> None:
    root = HERE.parent.parent
    sys.path[:0] = [str(root), str(HERE.parent), str(HERE)]
    import drive

    for area in drive.AREAS:
        found = drive.bytes_of(area)
        goldens = {name: encode(area, name, data, drive.MESSAGES) for name, data in found.items()}
        for name, value in goldens.items():
            assert decode(value) == found[name], name
        table = {"revision": revision, "goldens": goldens}
        (HERE / f"{area}.json").write_text(json.dumps(table, indent=1) + "\n", encoding="utf-8")
        print(area, len(goldens))


if __name__ == "__main__":
    main(sys.argv[1])
