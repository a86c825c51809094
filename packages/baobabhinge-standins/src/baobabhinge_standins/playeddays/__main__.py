"""Compare the policies under which the standard days were played."""

import sys
from pathlib import Path

import defopt

from baobabhinge_standins.playeddays.entries import (
    UnreadableEntryError,
    read_entries,
)
from baobabhinge_standins.playeddays.plots import draw_policy_days
from baobabhinge_standins.playeddays.tables import (
    list_policy_days,
    render_policy_days,
)

EXIT_UNREADABLE = 2


def main(journal: str = 'journal', *, plot: Path | None = None) -> None:
    """Print a table of the newest play of each day under each policy.

    Parameters
    ----------
    journal
        Folder of the entries; runs whose reason begins with "policy NAME:"
        are taken.
    plot
        Image to write.
    """
    try:
        days = list_policy_days(read_entries(Path(journal)))
    except UnreadableEntryError as bad:
        sys.stderr.write(f'{bad}\n')
        sys.exit(EXIT_UNREADABLE)
    sys.stdout.write(f'{render_policy_days(days)}\n')
    if plot is not None:
        draw_policy_days(days, plot)


if __name__ == '__main__':
    defopt.run(main)
