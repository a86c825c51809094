"""Parsers of flags, choices and paths."""

import re
from collections.abc import Callable, Iterable

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import FieldError
from baobabhinge_settings.schema.names import check_ascii

FLAGS = {'true': True, 'false': False}
PATH_PATTERN = re.compile('/[!-~]*')
WEIGHTS_PATH_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._/-]*')


def parse_flag(text: str) -> bool:
    """Return the flag written as ``true`` or ``false``.

    Raises
    ------
    FieldError
        If it is neither of the two.
    """
    flag = FLAGS.get(text)
    if flag is None:
        raise FieldError(
            FaultCode.bad_flag,
            f'"{text}" is not allowed; allowed: true, false',
        )
    return flag


def create_choice_parser(choices: Iterable[str]) -> Callable[[str], str]:
    """Return a parser that accepts exactly the texts ``choices``."""
    allowed_texts = tuple(choices)

    def parse_choice(text: str) -> str:
        if text in allowed_texts:
            return text
        allowed = ', '.join(allowed_texts)
        raise FieldError(
            FaultCode.bad_choice,
            f'"{text}" is not allowed; allowed: {allowed}',
        )

    return parse_choice


def parse_path(text: str) -> str:
    """Return a path pattern such as ``/trades/*/confirm``.

    Raises
    ------
    FieldError
        If it does not start with a slash, or has spaces.
    """
    return _match_pattern(text, PATH_PATTERN, 'a path that starts with "/"')


def parse_weights_path(text: str) -> str:
    """Return a path in the weight store.

    Raises
    ------
    FieldError
        If it has characters that such a path may not have.
    """
    return _match_pattern(
        text, WEIGHTS_PATH_PATTERN, 'letters, digits, ".", "_", "-" and "/"'
    )


def _match_pattern(text: str, pattern: re.Pattern[str], allowed: str) -> str:
    check_ascii(text)
    if pattern.fullmatch(text):
        return text
    raise FieldError(
        FaultCode.bad_pattern,
        f'"{text}" is not allowed; allowed: {allowed}',
    )
