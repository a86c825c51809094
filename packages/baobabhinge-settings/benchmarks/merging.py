"""Time of the first merge of a folder, and of one after a file changed.

Run after ``source bin/environment`` as
``python packages/baobabhinge-settings/benchmarks/merging.py``.
"""

import statistics
import sys
import time
import tracemalloc
from collections.abc import Sequence

from baobabhinge_settings import Merger, SourceFile

FILE_COUNTS = (10, 100, 1000, 5000)
ROUNDS = 5
KIBIBYTE = 1024
MILLISECONDS = 1000
IN_FLIGHT_LIMIT = 8
LETTER_BY_BIT = str.maketrans('01', 'ab')
BASE = """[region west]
failure-domains = west-a
[service llm]
kind = model
deadline = 20 s
[placement llm west]
replicas = 9 vms
"""
WORKSPACE = """[workspace {name}]
home = west
services = llm
[data-rule {name}]
region = west
may-go-to = none
workspace = {name}
[limit {name}]
workspace = {name}
in-flight = {size} requests
rate = 20 requests/s
"""


def build_files(count: int) -> list[SourceFile]:
    """Return a base file and ``count - 1`` files with one workspace each."""
    numbers = range(1, count)
    return [
        SourceFile('10-base.ini', BASE),
        *(build_file(number, IN_FLIGHT_LIMIT) for number in numbers),
    ]


def build_file(number: int, size: int) -> SourceFile:
    """Return the file of one workspace.

    Its name is a binary number in the letters a and b, as names with digits
    could look alike, which is a fault.
    """
    name = bin(number)[1:].translate(LETTER_BY_BIT)
    text = WORKSPACE.format(name=name, size=size)
    return SourceFile(f'20-{name}.ini', text)


def time_merge(merger: Merger, files: Sequence[SourceFile]) -> float:
    """Return the duration of one merge in milliseconds."""
    start = time.perf_counter()
    merger.merge(files)
    return (time.perf_counter() - start) * MILLISECONDS


def measure_first_merge(files: Sequence[SourceFile]) -> float:
    """Return the median time of a first merge in milliseconds."""
    times = [time_merge(Merger(), files) for _ in range(ROUNDS)]
    return statistics.median(times)


def measure_repeated_merge(files: Sequence[SourceFile]) -> float:
    """Return the median time of a merge after one changed file, in ms."""
    merger = Merger()
    merger.merge(files)
    times = []
    for size in range(1, ROUNDS + 1):
        changed = build_file(1, IN_FLIGHT_LIMIT + size)
        unchanged = [*files[:1], *files[2:]]
        times.append(time_merge(merger, [changed, *unchanged]))
    return statistics.median(times)


def measure_memory(files: Sequence[SourceFile]) -> float:
    """Return the memory of a merger and its settings in KiB."""
    tracemalloc.start()
    merger = Merger()
    settings = merger.merge(files)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert settings.services
    return allocated / KIBIBYTE


def main() -> None:
    """Print one row for each number of files."""
    sys.stdout.write('files | first ms | one changed ms | memory KiB\n')
    for count in FILE_COUNTS:
        files = build_files(count)
        measures = (measure_first_merge, measure_repeated_merge, measure_memory)
        figures = [measure(files) for measure in measures]
        row = ' | '.join([f'{figure:.1f}' for figure in figures])
        sys.stdout.write(f'{count} | {row}\n')


if __name__ == '__main__':
    main()
