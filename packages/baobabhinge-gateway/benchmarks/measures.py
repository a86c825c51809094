"""What the percentiles of the status cost at their bound of services.

Run after ``source bin/environment`` as
``python packages/baobabhinge-gateway/benchmarks/measures.py``.
"""

import sys
import time
import tracemalloc
from datetime import timedelta
from random import Random

from baobabhinge_gateway.telemetry.call_statistics import (
    MAX_SERVICES,
    CallStatistics,
)

KINDS = ('answer', 'first-token')
CALLS = 300
TRIES = 20
HIGHEST_SECONDS = 20
BYTES_PER_KIB = 1024
SEED = 1


def main() -> None:
    """Write the memory of the histograms and the time of one summary."""
    fill(services=1)
    tracemalloc.start()
    measures = fill(services=MAX_SERVICES)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    spent = time_summary(measures)
    kibibytes = held // BYTES_PER_KIB
    sys.stdout.write(f'{kibibytes} KiB, {spent} a status\n')


def fill(services: int) -> CallStatistics:
    """Return what some services were timed with."""
    random = Random(SEED)
    measures = CallStatistics()
    for number in range(services):
        for kind in KINDS:
            for _ in range(CALLS):
                latency = timedelta(seconds=random.uniform(0, HIGHEST_SECONDS))
                measures.record_latency(kind, f'service-{number}', latency)
    return measures


def time_summary(measures: CallStatistics) -> timedelta:
    """Return the processor time of the percentiles of one status."""
    begun = time.process_time()
    for _ in range(TRIES):
        measures.summarize()
        measures.summarize_services()
    return timedelta(seconds=(time.process_time() - begun) / TRIES)


if __name__ == '__main__':
    main()
