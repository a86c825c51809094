"""Requests of the example load."""

from pathlib import Path

import msgspec


class ScriptLine(msgspec.Struct, frozen=True):
    """One request of ``requests.jsonl``.

    Parameters
    ----------
    name : str
        Kind of work.
    region : str
        Region whose gateways the caller uses.
    method, path : str
        HTTP method and path; ``{n}`` stands for the number of the request.
    body : Raw
        JSON body, if there is one.
    """

    name: str
    region: str
    method: str
    path: str
    body: msgspec.Raw = msgspec.Raw(b'')

    @property
    def is_streamed(self) -> bool:
        """Tell whether a stream of events is asked for."""
        return b'"stream":true' in bytes(self.body)


def read_script(path: Path) -> list[ScriptLine]:
    """Return the requests of a file with one JSON object a line."""
    return msgspec.json.Decoder(ScriptLine).decode_lines(path.read_bytes())
