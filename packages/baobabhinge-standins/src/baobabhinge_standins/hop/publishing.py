"""Cost of a change of the configuration at one gateway."""

from pathlib import Path

from baobabhinge_standins.hop.starting import start_site

WORKSPACE = """
[workspace team-{number}]
home = west
[limit team-{number}]
workspace = team-{number}
in-flight = {limit} requests
"""
FIRST_LIMIT = 100


async def measure_publishing(files: int, changes: int) -> float:
    """Return the processor time of a change, in milliseconds.

    Parameters
    ----------
    files : int
        Files of the settings folder.
    changes : int
        Changes to publish, each to another file.
    """
    async with start_site() as site:
        for number in range(files):
            _write(site.settings, number, FIRST_LIMIT)
        await site.publish()
        spent = site.meter.read_processor()
        for change in range(changes):
            _write(site.settings, change % files, FIRST_LIMIT + change + 1)
            await site.publish()
        spent = site.meter.read_processor() - spent
    return spent / changes


def _write(folder: Path, number: int, limit: int) -> None:
    text = WORKSPACE.format(number=number, limit=limit)
    (folder / f'20-team-{number}.ini').write_text(text)
