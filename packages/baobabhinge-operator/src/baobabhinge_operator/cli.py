"""Entry point of the command line."""

import asyncio
import functools
import sys
from collections.abc import Awaitable, Callable

import defopt

from baobabhinge_operator import commands, queries
from baobabhinge_operator.exit_codes import FAILURE_TYPES, find_failure
from baobabhinge_operator.queries.checking import CheckReportError

AsyncCommand = Callable[..., Awaitable[str]]
COMMANDS: tuple[AsyncCommand, ...] = (
    queries.check,
    queries.diff,
    commands.publish,
    queries.show,
    queries.explain,
    queries.history,
    queries.status,
    commands.drain,
    queries.entries,
    commands.restore,
)


def run() -> None:
    """Parse the command line, run the command and exit with its code."""
    defopt.run(
        [_make_synchronous(command) for command in COMMANDS],
        no_negated_flags=True,
        show_defaults=False,
        argparse_kwargs={'prog': 'baobabhinge'},
    )


def _make_synchronous(command: AsyncCommand) -> Callable[..., None]:
    @functools.wraps(command)
    def run_command(*args: object, **options: object) -> None:
        try:
            output = asyncio.run(_run_awaitable(command(*args, **options)))
        except CheckReportError as report:
            sys.stdout.write(f'{report}\n')
            sys.exit(find_failure(report).exit_code)
        except FAILURE_TYPES as error:
            failure = find_failure(error)
            sys.stderr.write(f'{failure.code}: {error}\n')
            sys.exit(failure.exit_code)
        sys.stdout.write(f'{output}\n')

    return run_command


async def _run_awaitable(pending: Awaitable[str]) -> str:
    return await pending
