"""What became of a request."""

import enum


class Verdict(enum.StrEnum):
    """What became of one request, as its caller sees it."""

    answered = 'answered'
    not_run = 'not run'
    unknown = 'unknown'
    # The answer ended early and says so.
    broken = 'broken'
    # The answer seems whole and is a part of it or another one's.
    cut = 'cut'
