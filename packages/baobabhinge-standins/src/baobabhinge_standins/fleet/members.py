"""The vms of a deployment."""

import enum
from pathlib import Path
from string import ascii_lowercase

import msgspec

from baobabhinge_standins.fleet.ports import HOST, reserve_port


class Role(enum.StrEnum):
    """What a member runs."""

    gateway = 'gateway'
    engine = 'engine'
    application = 'application'


class Member(msgspec.Struct):
    """One vm of the deployment.

    Parameters
    ----------
    name : str
        Name of the vm.
    role : Role
        What it runs.
    region, service : str
        Where it stands and what it serves.
    port : int
        Port for its peers or for the gateways.
    caller_port : int
        Port for callers; 0 unless it is a gateway.
    state : str
        ``live`` or ``leaving``.
    fencing : str
        Whether an engine refuses old fencing numbers or ignores them.
    domain : int
        Which failure domain of its region it stands in, from 0.
    """

    name: str
    role: Role
    region: str
    port: int
    service: str = ''
    caller_port: int = 0
    state: str = 'live'
    fencing: str = 'ignore'
    domain: int = 0

    @property
    def failure_domain(self) -> str:
        """Return the name of the failure domain."""
        letter = ascii_lowercase[self.domain]
        return f'{self.region}-{letter}'

    @property
    def address(self) -> str:
        """Return ``host:port`` for peers or for the gateways."""
        return f'{HOST}:{self.port}'

    @property
    def caller_address(self) -> str:
        """Return ``host:port`` for callers."""
        return f'{HOST}:{self.caller_port}'

    def list_options(self, journal: Path) -> tuple[str, ...]:
        """Return the options of the stand-in that runs on this vm.

        Parameters
        ----------
        journal : Path
            File that keeps its list of runs.
        """
        options = (f'--port={self.port}', f'--journal={journal}')
        if self.role is Role.engine:
            return options
        return (*options, f'--name={self.name}')

    def render_target(
        self,
        address: str,
        caller_address: str,
    ) -> dict[str, object]:
        """Return the target group of this vm for the list of vms.

        Parameters
        ----------
        address : str
            ``host:port`` at which the reader of the list reaches this vm.
        caller_address : str
            ``host:port`` at which callers reach it, if it is a gateway.
        """
        labels = {
            'vm': self.name,
            'region': self.region,
            'failure_domain': self.failure_domain,
            'role': self.role,
            'service': self.service,
            'state': self.state,
            'fencing': self.fencing,
        }
        if self.caller_port:
            labels['caller_address'] = caller_address
        return {'targets': [address], 'labels': labels}


class Roster:
    """Members by name.

    Parameters
    ----------
    failure_domains : int, optional
        Failure domains of each region; vms of a kind go to them in turn.
    """

    __slots__ = ('_failure_domains', '_members')

    def __init__(self, failure_domains: int = 1) -> None:
        """Start empty."""
        self._failure_domains = failure_domains
        self._members: dict[str, Member] = {}

    def get(self, name: str) -> Member:
        """Return the member called ``name``."""
        return self._members[name]

    def remove(self, name: str) -> None:
        """Forget the member called ``name``."""
        self._members.pop(name)

    def list_all(self) -> list[Member]:
        """Return every member."""
        return list(self._members.values())

    def list_by(self, role: Role, region: str = '') -> list[Member]:
        """Return the members with a role, of one region or of all."""
        return [
            member
            for member in self._members.values()
            if member.role is role and region in {'', member.region}
        ]

    def add_backend(self, role: Role, region: str, service: str) -> Member:
        """Add the next backend server of ``service`` in ``region``."""
        prefix = f'{region}-{service}'
        known = [name for name in self._members if name.startswith(prefix)]
        number = len(known) + 1
        name = f'{prefix}-{number}'
        member = Member(name, role, region, reserve_port(), service)
        member.domain = len(known) % self._failure_domains
        self._members[name] = member
        return member

    def add_gateway(self, region: str) -> Member:
        """Add the next gateway of ``region``."""
        known = self.list_by(Role.gateway, region)
        number = len(known) + 1
        name = f'{region}-gateway-{number}'
        member = Member(name, Role.gateway, region, reserve_port())
        member.domain = len(known) % self._failure_domains
        member.caller_port = reserve_port()
        self._members[name] = member
        return member
