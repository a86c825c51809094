"""What one gateway remembers about run-once calls."""

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


class RunOnceMemory:
    """Mint, owner and witness of one gateway.

    Parameters
    ----------
    hop : Hop
        This gateway.
    incarnation : str
        This start of the process.
    clock : Clock
        Clock of the ages.
    random : Random
        Generator of keys; one that can't be predicted.
    key_age : timedelta
        How long own keys can be used.

    Attributes
    ----------
    retention : Retention
        Bounds.
    mint : KeyMint
        Maker of own keys.
    owner, witness : Owner, Witness
        Decisions about own keys, and about keys of other owners.
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
        """Return this process."""
        return self.owner.party

    def is_forged(self, key: RunOnceKey) -> bool:
        """Tell whether ``key`` names this process, which did not make it."""
        return key.owner == self.party and not self._signer.verify(key)

    def drop_expired(self) -> None:
        """Forget what is past its age."""
        self.owner.entries.drop_expired()
        self.witness.epochs.drop_expired()
