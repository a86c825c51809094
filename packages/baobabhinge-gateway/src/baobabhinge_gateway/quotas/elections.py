"""Choice of the gateway that keeps the account of a workspace in a region."""

from collections.abc import Mapping
from datetime import timedelta
from functools import partial
from typing import Protocol

import msgspec

from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.quotas.delays import DelayMeter
from baobabhinge_gateway.quotas.messages import Statement
from baobabhinge_gateway.quotas.votes import (
    LONGEST_DELAY,
    Vote,
    VoteTable,
    digest_name,
    weigh,
)

# What is known of other gateways is read anew after this time.
ROSTER_AGE = timedelta(milliseconds=250)


class Roster(msgspec.Struct, frozen=True):
    """Gateways of the own region, by name.

    Parameters
    ----------
    known : frozenset of str
        Gateways that are expected to run, with this one.
    live : frozenset of str
        Those that are heard of, with this one.
    is_settled : bool
        Whether it is known which are heard of.
    is_leaving : bool
        Whether this gateway is going to stop.
    has_stalled : bool
        Whether it has just run on after a pause, so that calls that arrive now
        may have been sent long ago.
    """

    known: frozenset[str]
    live: frozenset[str]
    is_settled: bool = True
    is_leaving: bool = False
    has_stalled: bool = False

    @property
    def may_keep(self) -> bool:
        """Whether this gateway may keep accounts."""
        return self.is_settled and not self.is_leaving

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the gateways are heard of."""
        return 2 * len(self.live) > len(self.known)


class RosterReader(Protocol):
    """Source of the gateways of the own region."""

    def read(self) -> Roster:
        """Return the gateways."""


class Election:
    """Find keepers, and count the gateways that agree with this one.

    Gateways of builds that know no quotas are live, but neither keep accounts
    nor vote.

    Parameters
    ----------
    own : SectionSender
        This gateway.
    rosters : RosterReader
        Gateways of the region.

    Attributes
    ----------
    votes : VoteTable
        Votes of the other gateways.
    """

    __slots__ = (
        '_delays',
        '_keepers',
        '_may_keep',
        '_own',
        '_read',
        '_roster',
        '_rosters',
        '_shares',
        'votes',
    )

    def __init__(self, own: SectionSender, rosters: RosterReader) -> None:
        """Start without votes."""
        self._own = own.name
        self._rosters = rosters
        self._delays = DelayMeter()
        self.votes = VoteTable(own.name)
        self._roster = Roster(frozenset(), frozenset())
        self._read: timedelta | None = None
        self._may_keep = False
        # Found anew if gateways come or go.
        self._keepers: dict[str, str | None] = {}
        # Counted anew each time that the roster is read.
        self._shares: dict[str, float] = {}

    def refresh(self, now: timedelta) -> Roster:
        """Return the gateways of the region."""
        if self._read is None or now - self._read >= ROSTER_AGE:
            self._read = now
            self._shares.clear()
            roster = self._rosters.read()
            has_dropped = self.votes.drop_silent(roster.live, now)
            if has_dropped or roster != self._roster:
                self._roster = roster
                self._keepers.clear()
        return self._roster

    def record(
        self, sender: SectionSender, statement: Statement, now: timedelta
    ) -> bool:
        """Record what a gateway states; return whether keepers may change.

        A statement that was long on its way does not count.
        """
        if self._delays.measure(sender, statement.sent, now) > LONGEST_DELAY:
            return False
        vote = Vote(
            now,
            frozenset(statement.unheard),
            statement.may_keep,
            statement.time,
        )
        known = self.votes.votes.get(sender.name)
        self.votes.votes[sender.name] = vote
        has_changed = known is None or known.may_keep != vote.may_keep
        if has_changed:
            self._keepers.clear()
        return has_changed

    def announce(self, now: timedelta) -> Vote:
        """Return the own vote, which is told to the region from now on.

        This gateway becomes a keeper, or stops being one, when it tells so: the
        keeper before hands its accounts over then.
        """
        roster = self.refresh(now)
        if roster.may_keep != self._may_keep:
            self._may_keep = roster.may_keep
            self._keepers.clear()
        unheard = map(digest_name, roster.known - roster.live)
        return Vote(now, frozenset(unheard), roster.may_keep)

    def find_keeper(self, workspace: str, now: timedelta) -> str | None:
        """Return the keeper of an account, as far as this gateway knows.

        It is ``None`` without any gateway that may be, and after a pause: calls
        that were sent before it would count in a window that has passed.
        """
        self.refresh(now)
        if workspace not in self._keepers:
            self._keepers[workspace] = choose_keeper(
                workspace,
                self._own if self._may_keep else '',
                self._roster,
                self.votes.votes,
            )
        return self._keepers[workspace]

    def is_keeper(self, workspace: str, now: timedelta) -> bool:
        """Return whether this gateway holds itself for the keeper."""
        return self.find_keeper(workspace, now) == self._own

    def compute_share(self, workspace: str, now: timedelta) -> float:
        """Return which part of the gateways holds this one for the keeper.

        It is 0 unless these are more than half.
        """
        is_keeper = self.is_keeper(workspace, now)
        if not is_keeper or not self._roster.is_majority:
            return 0
        if workspace not in self._shares:
            self._shares[workspace] = self.votes.count(
                workspace, self._roster.known, now
            )
        return self._shares[workspace]


def choose_keeper(
    workspace: str, own: str, roster: Roster, votes: Mapping[str, Vote]
) -> str | None:
    """Return the keeper of an account, or ``None`` without any.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    own : str
        Name of this gateway; empty unless it may keep accounts.
    roster : Roster
        Gateways of the region.
    votes : mapping of str to Vote
        Votes of the other gateways that know quotas.
    """
    if roster.has_stalled:
        return None
    candidates = [
        name for name in roster.live if name in votes and votes[name].may_keep
    ]
    if own:
        candidates.append(own)
    return max(candidates, default=None, key=partial(weigh, workspace))
