"""Memory and processor time of the latency percentiles of a status.

Measured with histograms for the highest number of services.

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

LATENCY_KINDS = ('answer', 'first-token')
CALLS_PER_KIND = 300
REPETITIONS = 20
MAX_LATENCY_SECONDS = 20
BYTES_PER_KIB = 1024
SEED = 1


def main() -> None:
    """Print the memory of the histograms and the time of one summary."""
    fill(services=1)
    tracemalloc.start()
    statistics = fill(services=MAX_SERVICES)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    processor_time = time_summary(statistics)
    kibibytes = used_bytes // BYTES_PER_KIB
    sys.stdout.write(f'{kibibytes} KiB, {processor_time} a status\n')


def fill(services: int) -> CallStatistics:
    """Return statistics with random latencies of ``services`` services."""
    random = Random(SEED)
    statistics = CallStatistics()
    for number in range(services):
        for kind in LATENCY_KINDS:
            for _ in range(CALLS_PER_KIND):
                latency = timedelta(
                    seconds=random.uniform(0, MAX_LATENCY_SECONDS)
                )
                statistics.record_latency(kind, f'service-{number}', latency)
    return statistics


def time_summary(statistics: CallStatistics) -> timedelta:
    """Return the processor time to compute the percentiles of a status."""
    started = time.process_time()
    for _ in range(REPETITIONS):
        statistics.summarize()
        statistics.summarize_services()
    return timedelta(seconds=(time.process_time() - started) / REPETITIONS)


if __name__ == '__main__':
    main()
