"""Identifiers, and lists of them."""

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
        f'"{text}" is not a name; allowed: a small letter, then small letters,'
        f' digits and "-", at most {MAX_IDENTIFIER_LENGTH} in all',
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
    """Return the names of a list that may not be empty.

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
    """Refuse text with letters that are not ASCII.

    Raises
    ------
    FieldError
        It names the first such letter by its code point.
    """
    for letter in text:
        if not letter.isascii():
            code_point = ascii(letter).strip("'")
            raise FieldError(
                FaultCode.not_ascii,
                f'"{text}" has the letter {code_point}, which is not ASCII;'
                ' allowed: a to z, 0 to 9 and "-". It can look like an ASCII'
                ' letter: write it again with an ASCII keyboard',
            )


def compute_skeleton(name: str) -> str:
    """Return what ``name`` looks like; lookalikes share it.

    References
    ----------
    Unicode Technical Standard 39, Unicode Security Mechanisms.
    """
    plain = name.translate(_LOOKALIKES)
    return plain.replace('rn', 'm').replace('vv', 'w')
