"""One gateway that runs in virtual time."""

from datetime import timedelta
from functools import partial

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.peer_exchange import PeerExchange
from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.forwarding.server_load import build_prompt_load
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.state_sharing import StateSharing
from baobabhinge_gateway.neighbours import GatewayContact
from baobabhinge_standins.exchange.network import Network
from baobabhinge_standins.exchange.virtual_time import LoopClock

# Calls in flight of a gateway with some ten calls a second.
LOADED_SERVERS = 10
PROMPT_TOKENS = 9000
REGIONS = ('fukuoka', 'kagoshima', 'kumamoto')


class SimulatedGateway:
    """One gateway with its own services, without callers and listeners.

    Parameters
    ----------
    network : Network
        Carries what it sends.
    contact : GatewayContact
        Name, region and address.

    Attributes
    ----------
    core : GatewayCore
        State and decisions.
    heartbeats : HeartbeatService
        Exchange of datagrams.
    sharing : StateSharing
        Exchange of state.
    """

    __slots__ = ('core', 'heartbeats', 'sharing')

    def __init__(self, network: Network, contact: GatewayContact) -> None:
        """Connect the services; nothing is started."""
        settings = ForwardingSettings(
            contact,
            f'{contact.host}:80',
            f'{contact.host}:81',
            {f'{region}-a': region for region in REGIONS},
            RetryBudgetLimits(),
            timedelta(seconds=8),
        )
        self.core = GatewayCore(settings, LoopClock())
        self.core.ingress.random.seed(contact.name)
        for number in range(LOADED_SERVERS):
            load = build_prompt_load(PROMPT_TOKENS, PROMPT_TOKENS, 0)
            self.core.state.loads.change(f'server-{number}', load, 1)
        self.heartbeats = PeerExchange(self.core).heartbeats
        self.heartbeats.open_socket = network.open_socket
        transfer = partial(network.fetch, contact.host)
        self.sharing = StateSharing(
            self.core, transfer, self.heartbeats.send_heartbeats
        )
        vm = network.vms[contact.host]
        vm.answer_state = self.sharing.sender.answer
