"""Decisions on second copies, by what is known of services and servers."""

from collections.abc import Collection
from datetime import timedelta

from baobabhinge_gateway.copies.chooser import SecondChooser
from baobabhinge_gateway.copies.metrics import CopyMetrics
from baobabhinge_gateway.copies.rules import CopyShare, RecentTimes
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.retry_budget import SharedRetryBudget
from baobabhinge_gateway.forwarding.targets import Target


class CopyDecisions:
    """Decide when a second copy of a call is sent, and where.

    Parameters
    ----------
    share : CopyShare
        Bound on copies.
    times : RecentTimes
        Times of the calls of each service.
    chooser : SecondChooser
        Chooses the second server.
    budget : SharedRetryBudget
        Bound on retries, on which copies draw too.
    metrics : CopyMetrics
        Counts copies.

    Attributes
    ----------
    metrics : CopyMetrics
        Counts copies.
    times : RecentTimes
        Times of the calls of each service.
    """

    __slots__ = (
        '_budget',
        '_chooser',
        '_share',
        'metrics',
        'times',
    )

    def __init__(
        self,
        share: CopyShare,
        times: RecentTimes,
        chooser: SecondChooser,
        budget: SharedRetryBudget,
        metrics: CopyMetrics,
    ) -> None:
        """Store the collaborators."""
        self._share = share
        self._chooser = chooser
        self._budget = budget
        self.metrics = metrics
        self.times = times

    def is_timed(self, call: Call, target: Target) -> bool:
        """Return whether the time of a call tells which ones are slow."""
        return (
            self._share.share > 0
            and not call.route.kind.is_streamed
            and target.estimate is not None
            and self._chooser.offers_copies(call.service)
        )

    def may_copy(self, call: Call, target: Target) -> bool:
        """Return whether calls like this one may get copies at all."""
        return call.route.kind.is_repeatable and self.is_timed(call, target)

    def begin(self, call: Call) -> timedelta | None:
        """Count a call; return when it is slow, ``None`` if it gets no copy."""
        self._share.record_call(call.service)
        if not self._share.has_room(call.service):
            return None
        return self.times.find_limit(call.service)

    def choose_second(
        self, call: Call, tried: Collection[str], usual: timedelta
    ) -> Target | None:
        """Return the target of a copy, which is counted, or ``None``.

        Parameters
        ----------
        call : Call
            Call whose first attempt is slow.
        tried : collection of str
            Servers that got it already.
        usual : timedelta
            Wait at the first server, as it was estimated.
        """
        if not self._share.has_room(call.service):
            return None
        target = self._chooser.choose(call, tried, usual)
        if target is None:
            return None
        if not self._budget.try_acquire(call.service):
            self.metrics.count_refused()
            return None
        self._share.record_copy(call.service)
        self.metrics.count_sent()
        return target
