"""What serving has cost."""

import msgspec

from baobabhinge_standins.fleet.deployment import Deployment
from baobabhinge_standins.traffic.audit import Journals

TOKENS_PER_BLOCK = 16
PREFILL_WEIGHT = 0.1
KILOBYTE_WEIGHT = 0.1
BYTES_PER_KILOBYTE = 1000


class Cost(msgspec.Struct, frozen=True):
    """Work and traffic of a deployment.

    Parameters
    ----------
    generated_tokens, prefilled_tokens : int
        Tokens that engines generated, and prompt tokens that were not in a
        cache.
    wan_bytes : int
        Bytes between regions, both ways.
    """

    generated_tokens: int
    prefilled_tokens: int
    wan_bytes: int

    @property
    def units(self) -> float:
        """Return the cost; one generated token costs one unit.

        A prefilled token costs a tenth of one, and so does a kilobyte
        between regions.
        """
        kilobytes = self.wan_bytes / BYTES_PER_KILOBYTE
        return (
            self.generated_tokens
            + PREFILL_WEIGHT * self.prefilled_tokens
            + KILOBYTE_WEIGHT * kilobytes
        )


async def measure_cost(deployment: Deployment, journals: Journals) -> Cost:
    """Return the work of the engines and the bytes between regions."""
    runs = [run for _, run in journals.models]
    cold = sum(run.prompt_blocks - run.cached_blocks for run in runs)
    tokens = sum(run.tokens for run in runs)
    carried = await _count_wan_bytes(deployment)
    return Cost(tokens, cold * TOKENS_PER_BLOCK, carried)


async def _count_wan_bytes(deployment: Deployment) -> int:
    links = await deployment.links.read_traffic()
    wan = [link for link in links if link.source != link.destination]
    return sum(link.forward_bytes + link.backward_bytes for link in wan)
