"""Lines on the standard output of a command."""

import sys


def show_line(line: str) -> None:
    """Write one line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
