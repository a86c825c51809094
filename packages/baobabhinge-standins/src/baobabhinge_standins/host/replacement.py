"""Replacement of gateways, and of stand-ins of servers that have ended."""

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_standins.host.configuration import PLAIN
from baobabhinge_standins.host.scene import HostScene, wait_until


async def wait_for_listing(scene: HostScene) -> None:
    """Wait until all gateways list all servers, suspect none, and are ready.

    They know then which other gateways are live.
    """
    cores = [program.core for program in scene.programs.values()]
    await wait_until(lambda: all(_is_up_to_date(core, scene) for core in cores))


async def replace_ended_servers(scene: HostScene) -> int:
    """Start each server that has ended again; return how many there were."""
    ended = [one for one in scene.servers.values() if one.crash.has_happened]
    for server in ended:
        await scene.replace_server(server)
    await wait_for_listing(scene)
    return len(ended)


async def restart_gateway(scene: HostScene, name: str, zone: str) -> None:
    """Stop a gateway and run it again, with nothing of what it knew."""
    await scene.programs.pop(name).stop()
    await scene.add_gateway(name, zone)


def _is_up_to_date(core: GatewayCore, scene: HostScene) -> bool:
    listed = set(scene.servers)
    usable = {one.name for one in core.state.catalogue.list_usable(PLAIN)}
    live = core.gateways.list_live()
    is_ready = core.is_ready() and core.gateways.stalls.is_settled()
    return (
        usable == listed
        and is_ready
        and not core.state.reliability.suspected & listed
        and len(live) + 1 == len(scene.programs)
    )
