"""Changing single fields of JSON bodies."""

import msgspec


def replace_field(body: bytes, name: str, encoded: bytes) -> bytes:
    """Return ``body`` with one field changed and all others as they were.

    Parameters
    ----------
    body : bytes
        A JSON object.
    name : str
        Name of the field.
    encoded : bytes
        Its new content as JSON.
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields[name] = msgspec.Raw(encoded)
    return msgspec.json.encode(fields)
