"""Run-once keys and epochs that one gateway holds in memory."""

from datetime import timedelta
from random import Random

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce import (
    Issuer,
    KeyMint,
    KeySigner,
    Owner,
    Party,
    Retention,
    RunOnceKey,
    Witness,
)
from baobabhinge_gateway.calls import Hop


class KeyState:
    """Mint, owner and witness of one gateway.

    The state is lost when the process ends; the next process has another
    incarnation and does not own the keys of this one.

    Parameters
    ----------
    hop : Hop
        This gateway.
    incarnation : str
        Identifier of this process, new at each start.
    clock : Clock
        Clock of the ages of keys and epochs.
    random : Random
        Source of keys; it must be unpredictable.
    key_age : timedelta
        Age up to which keys of this gateway can be used.

    Attributes
    ----------
    retention : Retention
        Bounds on ages, counts and sizes.
    mint : KeyMint
        Makes the keys that this gateway owns.
    owner, witness : Owner, Witness
        Decide about keys of this gateway, and of the owners for which it is
        the witness.
    """

    __slots__ = ('_signer', 'mint', 'owner', 'retention', 'witness')

    def __init__(
        self,
        hop: Hop,
        incarnation: str,
        clock: Clock,
        random: Random,
        key_age: timedelta,
    ) -> None:
        """Start without keys and epochs."""
        party = Party(hop.gateway, incarnation)
        self.retention = Retention.from_key_age(key_age)
        self._signer = KeySigner(random)
        self.owner = Owner(party, clock, self.retention)
        self.witness = Witness(party, clock, self.retention)
        self.mint = KeyMint(
            Issuer(hop.region, party),
            self._signer,
            clock,
            random,
            self.retention,
        )

    @property
    def party(self) -> Party:
        """Return the identity of this process as owner and witness."""
        return self.owner.party

    def is_forged(self, key: RunOnceKey) -> bool:
        """Return whether ``key`` names this process but lacks its signature."""
        return key.owner == self.party and not self._signer.verify(key)

    def drop_expired(self) -> None:
        """Drop the entries of expired keys and the expired epochs."""
        self.owner.entries.drop_expired()
        self.witness.epochs.drop_expired()
