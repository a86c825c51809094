"""Parsers of identifiers and of lists of identifiers."""

import re

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import FieldError

MAX_IDENTIFIER_LENGTH = 63
IDENTIFIER = re.compile('[a-z][a-z0-9-]*')
EMPTY_LIST_WORD = 'none'

_LOOKALIKES = str.maketrans({'0': 'o', '1': 'l', 'i': 'l', '5': 's'})


def parse_name(text: str) -> str:
    """Return ``text`` if it is an identifier.

    Raises
    ------
    FieldError
        If it is not ASCII, or not an identifier.
    """
    check_ascii(text)
    fits = len(text) <= MAX_IDENTIFIER_LENGTH and IDENTIFIER.fullmatch(text)
    if fits:
        return text
    raise FieldError(
        FaultCode.bad_identifier,
        f'"{text}" is not a name; allowed: a lower-case letter, then lower-case'
        f' letters, digits and "-", at most {MAX_IDENTIFIER_LENGTH} characters',
    )


def parse_names(text: str) -> tuple[str, ...]:
    """Return the names of a list such as ``west, east``.

    The word ``none`` stands for the empty list.

    Raises
    ------
    FieldError
        If a name is not an identifier.
    """
    if text == EMPTY_LIST_WORD:
        return ()
    return tuple(parse_name(part.strip()) for part in text.split(','))


def parse_nonempty_names(text: str) -> tuple[str, ...]:
    """Return the names of a list, which must not be empty.

    Raises
    ------
    FieldError
        If it is empty, or a name is not an identifier.
    """
    names = parse_names(text)
    if names:
        return names
    raise FieldError(FaultCode.out_of_range, 'allowed: one name or more')


def check_ascii(text: str) -> None:
    """Raise an error for text with characters that are not ASCII.

    Raises
    ------
    FieldError
        If there is one; the message has the code point of the first.
    """
    for character in text:
        if not character.isascii():
            code_point = ascii(character).strip("'")
            raise FieldError(
                FaultCode.not_ascii,
                f'"{text}" has the character {code_point}, which is not ASCII;'
                ' allowed: a to z, 0 to 9 and "-". It may look like an ASCII'
                ' character; type the text again with an ASCII keyboard',
            )


def compute_skeleton(name: str) -> str:
    """Return the skeleton of ``name``; names that look alike have the same.

    References
    ----------
    Unicode Technical Standard 39, Unicode Security Mechanisms.
    """
    unified = name.translate(_LOOKALIKES)
    return unified.replace('rn', 'm').replace('vv', 'w')
