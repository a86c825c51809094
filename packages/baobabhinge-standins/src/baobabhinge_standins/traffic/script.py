"""Requests of the example load."""

from pathlib import Path

import msgspec

from baobabhinge_standins.traffic.requests import Request

NUMBER = '{n}'
MODEL_PREFIX = '/v1/'
PROMPT_KEY = 'prompt'
MESSAGES_KEY = 'messages'


class ScriptLine(msgspec.Struct, frozen=True):
    """One line of ``requests.jsonl``.

    Parameters
    ----------
    name : str
        Kind of work.
    region : str
        Region of the caller.
    method, path : str
        HTTP method and path; ``{n}`` stands for the number of the request.
    body : dict, optional
        JSON body; ``{n}`` in its texts stands for the number.
    shared : str
        Name of the file under ``prompts`` that comes before the prompt.
    run_once, bound : bool
        Whether the call may not be repeated, and whether it may not leave
        the region.
    workspace : str
        Workspace on whose account it runs.
    """

    name: str
    region: str
    method: str
    path: str
    body: dict[str, object] | None = None
    shared: str = ''
    run_once: bool = False
    bound: bool = False
    workspace: str = ''


class Script:
    """Lines of a script, taken in turn.

    Parameters
    ----------
    lines : list of ScriptLine
        The lines.
    prompts : dict of str to str
        Shared prompts by name.
    """

    __slots__ = ('_lines', '_prompts')

    def __init__(
        self,
        lines: list[ScriptLine],
        prompts: dict[str, str],
    ) -> None:
        """Keep both."""
        self._lines = lines
        self._prompts = prompts

    def build(self, number: int) -> Request:
        """Return the request with this number, counted from 0."""
        line = self._lines[number % len(self._lines)]
        return Request(
            kind=line.name,
            region=line.region,
            method=line.method,
            path=line.path.replace(NUMBER, str(number)),
            body=self._build_body(line, number),
            is_model=line.path.startswith(MODEL_PREFIX),
            is_run_once=line.run_once,
            is_bound=line.bound,
            workspace=line.workspace,
        )

    def _build_body(self, line: ScriptLine, number: int) -> bytes:
        if line.body is None:
            return b''
        body = line.body
        if line.shared:
            body = _prepend(body, self._prompts[line.shared])
        text = msgspec.json.encode(body)
        return text.replace(NUMBER.encode(), str(number).encode())


def read_script(folder: Path) -> Script:
    """Return the script of an example folder.

    Parameters
    ----------
    folder : Path
        Folder with ``requests.jsonl``, one JSON object a line, and
        ``prompts``, one text file for each shared prompt.
    """
    decoder = msgspec.json.Decoder(ScriptLine)
    lines = decoder.decode_lines((folder / 'requests.jsonl').read_bytes())
    prompts = {
        path.stem: path.read_text(encoding='utf-8')
        for path in (folder / 'prompts').glob('*.txt')
    }
    return Script(lines, prompts)


def _prepend(body: dict[str, object], prompt: str) -> dict[str, object]:
    messages = body.get(MESSAGES_KEY)
    if isinstance(messages, list):
        first = {'role': 'system', 'content': prompt}
        return body | {MESSAGES_KEY: [first, *messages]}
    return body | {PROMPT_KEY: f'{prompt}\n{body[PROMPT_KEY]}'}
