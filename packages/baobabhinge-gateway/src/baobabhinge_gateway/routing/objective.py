"""What a service's operators weigh."""

from datetime import timedelta

import msgspec

from baobabhinge_settings.model import Service

SECOND = timedelta(seconds=1)


class Objective(msgspec.Struct, frozen=True):
    """Goal and weights of one service.

    Parameters
    ----------
    first_token : timedelta
        Time to the first piece of an answer that counts as in time.
    tail_latency : float
        Weight of each second of lateness.
    cost : float
        Weight of one run; a run in another region counts twice.
    sent_away : float
        Weight of leaving the region.
    """

    first_token: timedelta = timedelta(milliseconds=1100)
    tail_latency: float = 1
    cost: float = 0.1
    sent_away: float = 0.1

    def score(self, first: timedelta, *, is_remote: bool) -> float:
        """Return the weighted objective of one run; smaller is better."""
        late = max(timedelta(), first - self.first_token) / SECOND
        away = self.cost + self.sent_away if is_remote else 0
        return self.tail_latency * late + away


def get_objective(service: Service) -> Objective:
    """Return what the operators of ``service`` weigh."""
    return Objective()
