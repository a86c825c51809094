"""Replacement of single fields in JSON bodies."""

import msgspec


def replace_field(body: bytes, name: str, encoded: bytes) -> bytes:
    """Return ``body`` with one field replaced and the others unchanged.

    Parameters
    ----------
    body : bytes
        A JSON object.
    name : str
        Name of the field.
    encoded : bytes
        New content of the field, encoded as JSON.
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields[name] = msgspec.Raw(encoded)
    return msgspec.json.encode(fields)
