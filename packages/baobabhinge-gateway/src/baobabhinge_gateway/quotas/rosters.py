"""Gateways of the own region, by the heartbeats that arrive from them."""

from datetime import timedelta

from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.neighbours import GatewayTable
from baobabhinge_gateway.quotas.elections import Roster

# Three to six heartbeats. A gateway that is wrongly held for gone costs a part
# of the rate for an interval, and no call is granted twice.
LIVE_TIMEOUT = timedelta(seconds=2)
# Above the time after which a gateway that starts is settled.
START_TIME = timedelta(milliseconds=1500)
# A gateway that fell silent may be cut off and run on for a long time.
KNOWN_TERM = timedelta(minutes=10)
# One that was never heard of may have ended before its entry was read.
UNHEARD_TERM = timedelta(minutes=1)


class TableRoster:
    """Read the gateways of the region from the table of heartbeats.

    Parameters
    ----------
    table : GatewayTable
        Contacts and heartbeats of other gateways.
    lifecycle : Lifecycle
        Whether this gateway is draining.
    """

    __slots__ = ('_created', '_lifecycle', '_listed', '_table')

    def __init__(self, table: GatewayTable, lifecycle: Lifecycle) -> None:
        """Store the collaborators."""
        self._lifecycle = lifecycle
        self._created = table.clock.read_monotonic()
        self._table = table
        self._listed: dict[str, timedelta] = {}

    def read(self) -> Roster:
        """Return the gateways of the region.

        Those that said that they are not ready before they fell silent have
        stopped; they are not known any more.
        """
        own = self._table.own
        live = {own.name}
        live.update(
            heartbeat.name
            for heartbeat in self._table.list_live(own.region, LIVE_TIMEOUT)
        )
        heard = self._table.list_live(own.region, KNOWN_TERM)
        stopped = {
            heartbeat.name for heartbeat in heard if not heartbeat.is_ready
        }
        known = {heartbeat.name for heartbeat in heard} | self._list_unheard()
        return Roster(
            frozenset((known - stopped) | live),
            frozenset(live),
            self._table.stalls.is_settled(),
            self._lifecycle.is_draining,
            self._has_stalled(),
        )

    def _has_stalled(self) -> bool:
        now = self._table.clock.read_monotonic()
        is_settled = self._table.stalls.is_settled()
        return not is_settled and now - self._created > START_TIME

    def _list_unheard(self) -> set[str]:
        """Return the gateways whose entry was read a short while ago."""
        now = self._table.clock.read_monotonic()
        for contact in self._table.contacts.values():
            if contact.region == self._table.own.region:
                self._listed.setdefault(contact.name, now)
        return {
            name
            for name, listed in self._listed.items()
            if now - listed < UNHEARD_TERM
        }
