"""Recording of what backend servers say of themselves on their answers."""

import aiohttp
import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.connector import close_idle_connections
from baobabhinge_gateway.forwarding.server_pauses import NO_TIME
from baobabhinge_gateway.forwarding.server_statements import (
    ServerStatement,
    StatementTable,
)

log = structlog.get_logger(__name__)


def record_statement(
    table: StatementTable,
    server: BackendServer,
    statement: ServerStatement,
    *,
    may_end_limit: bool,
) -> None:
    """Record what one answer says of its server.

    A limit, or a number of refusals, that can't be read neither begins nor ends
    one.

    Parameters
    ----------
    table : StatementTable
        Statements of all servers.
    server : BackendServer
        Server that answered.
    statement : ServerStatement
        What it says.
    may_end_limit : bool
        Whether an answer that names none ends one. A server may decline
        calls, and answer health checks, before it knows its own need.
    """
    if statement.is_leaving:
        table.departures.record(server)
    if statement.load is not None:
        table.on_load(server, statement.load)
    _record_pause(table, server, statement)
    _record_brittleness(table, server, statement, may_end=may_end_limit)
    if statement.unreadable_limit:
        log.warning(
            'server-limit-unreadable',
            server=server.name,
            text=statement.unreadable_limit,
        )
    elif may_end_limit or statement.limit is not None:
        table.limits.record(server.name, statement.limit)


def record_refusal(
    table: StatementTable, http: aiohttp.ClientSession, server: BackendServer
) -> None:
    """Record that a server has turned a call away.

    A copy of that answer may follow, and need not name its attempt, so that the
    connection is not used again.

    Parameters
    ----------
    table : StatementTable
        Statements of all servers.
    http : aiohttp.ClientSession
        Session of the call.
    server : BackendServer
        The server.
    """
    table.brittle.record_refusal(server)
    close_idle_connections(http, server.address)


def _record_brittleness(
    table: StatementTable,
    server: BackendServer,
    statement: ServerStatement,
    *,
    may_end: bool,
) -> None:
    if statement.unreadable_refusals:
        log.warning(
            'server-brittleness-unreadable',
            server=server.name,
            text=statement.unreadable_refusals,
        )
    is_unreadable = bool(statement.unreadable_refusals)
    if statement.refusals is not None or (may_end and not is_unreadable):
        table.brittle.table.record(server.service, statement.refusals)


def _record_pause(
    table: StatementTable, server: BackendServer, statement: ServerStatement
) -> None:
    if statement.unreadable_pause:
        log.warning(
            'server-pause-unreadable',
            server=server.name,
            text=statement.unreadable_pause,
        )
    pause = statement.pause
    if statement.pause_end is not None:
        left = statement.pause_end - table.clock.read_instant()
        pause = max(pause, left)
    if pause > NO_TIME:
        table.pauses.record(server, pause)
