"""Gateways that agree on the keeper of an account."""

from collections.abc import Collection, Sequence
from datetime import timedelta

import msgspec
import xxhash

# Four heartbeats of a region, two of a large one. Two of three packets in a
# hundred lost in a row withhold the part of one gateway for an interval.
VOTE_TERM = timedelta(milliseconds=1300)
# Three times as late as datagrams are read if many arrive close together, with
# some time for a busy process.
LONGEST_DELAY = timedelta(milliseconds=300)
# A vote may be on its way for some time, and an earlier keeper counts it for
# the term.
ELECTION_TIME = VOTE_TERM + LONGEST_DELAY
# Five heartbeats or more, each of which has a vote.
SILENT_TERM = timedelta(seconds=4)
# A gateway that is not heard of may use its fallback for so long, and its part
# is not minted meanwhile.
FALLBACK_TERM = timedelta(seconds=60)
RESERVED_TERM = FALLBACK_TERM + timedelta(seconds=5)


class Vote(msgspec.Struct, frozen=True):
    """What a gateway has told of those that it does not hear.

    Parameters
    ----------
    heard : timedelta
        Monotonic time at which it did.
    unheard : frozenset of int
        Digests of gateways of the region.
    may_keep : bool
        Whether the gateway may keep accounts.
    time : int
        Time of the statement, by the clock of its sender, in milliseconds.
    """

    heard: timedelta
    unheard: frozenset[int] = frozenset()
    may_keep: bool = True
    time: int = 0


class VoteTable:
    """Latest votes of the other gateways of the region.

    Parameters
    ----------
    own : str
        Name of this gateway.

    Attributes
    ----------
    votes : dict of str to Vote
        Votes by gateway.
    """

    __slots__ = ('_own', 'votes')

    def __init__(self, own: str) -> None:
        """Start without votes."""
        self._own = own
        self.votes: dict[str, Vote] = {}

    def drop_silent(self, live: Collection[str], now: timedelta) -> bool:
        """Drop gateways that run on without votes; return whether any do.

        They run an earlier build.
        """
        silent = [
            name
            for name, vote in self.votes.items()
            if name in live and now - vote.heard > SILENT_TERM
        ]
        for name in silent:
            self.votes.pop(name)
        return bool(silent)

    def count(
        self, workspace: str, known: Collection[str], now: timedelta
    ) -> float:
        """Return which part of the gateways holds this one for the keeper.

        It is 0 unless these are more than half.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        known : collection of str
            Gateways of the region that are expected to run.
        now : timedelta
            Monotonic time.
        """
        members = [name for name in self.votes if name in known]
        ahead = self._digest_ahead(workspace, members)
        votes = [self.votes[name] for name in members]
        agreeing = 1
        agreeing += sum(self._agrees(vote, ahead, now) for vote in votes)
        if 2 * agreeing <= 1 + len(votes):
            return 0
        return agreeing / (1 + _count_reserved(votes, now))

    def _digest_ahead(
        self, workspace: str, members: Sequence[str]
    ) -> frozenset[int]:
        """Return the digests of those that would be the keeper before."""
        own = weigh(workspace, self._own)
        return frozenset(
            digest_name(name)
            for name in members
            if weigh(workspace, name) > own and self.votes[name].may_keep
        )

    def _agrees(
        self, vote: Vote, ahead: frozenset[int], now: timedelta
    ) -> bool:
        if now - vote.heard > VOTE_TERM:
            return False
        own = digest_name(self._own)
        return own not in vote.unheard and vote.unheard >= ahead


def _count_reserved(votes: Sequence[Vote], now: timedelta) -> int:
    return sum(now - vote.heard < RESERVED_TERM for vote in votes)


def digest_name(name: str) -> int:
    """Return a short digest of the name of a gateway."""
    return xxhash.xxh32_intdigest(name.encode())


def weigh(workspace: str, name: str) -> tuple[int, str]:
    """Return the weight of a gateway as the keeper of a workspace.

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    1998.
    """
    return (xxhash.xxh3_64_intdigest(f'{workspace}/{name}'.encode()), name)
