"""Bound trades, and what a gateway could derive from bound text."""

import hashlib

import aiohttp
import msgspec
import xxhash

from baobabhinge_coordination.runonce import (
    Party,
    compute_request_digest,
    decode_key,
    encode_key,
)

MARK = 'bound-text-of-west'
SERVICE = 'ledger'
EAST = Party('east-gateway-1', 'e' * 16)
SOUTH = Party('south-gateway-1', '5' * 16)
GONE = Party('west-gateway-9', '9' * 16)
PARTIES = {
    'a key of west': {},
    'a key whose owner is in east': {'owner': EAST},
    'a key whose witness is in south': {'owner': GONE, 'witness': SOUTH},
    'a key whose parties are in east': {'owner': EAST, 'witness': EAST},
}
BYTE_DIGESTS = (16, 20, 32, 64)


class Trade(msgspec.Struct, frozen=True):
    """A trade that may not be repeated."""

    path: str
    body: str

    def compute_digest(self, encoded):
        """Return the digest by which a gateway compares its repeats."""
        parts = (SERVICE, 'POST', self.path, self.body)
        return compute_request_digest(
            decode_key(encoded),
            [part.encode() for part in parts],
        )

    async def send(self, address, headers):
        """Return the code and the outcome that the caller is told."""
        async with (
            aiohttp.ClientSession() as http,
            http.post(
                f'http://{address}/services/{SERVICE}{self.path}',
                data=self.body,
                headers=headers,
            ) as answer,
        ):
            if answer.status == 200:
                return 'answered'
            problem = msgspec.json.decode(await answer.read())
            return f'{problem["code"]} {problem["outcome"]}'


async def take_key(address, kind):
    """Take a key at ``address`` and change who it names."""
    async with (
        aiohttp.ClientSession() as http,
        http.post(f'http://{address}/v1/keys') as answer,
    ):
        batch = msgspec.json.decode(await answer.read())
    key = decode_key(batch['keys'][0])
    return encode_key(msgspec.structs.replace(key, **PARTIES[kind]))


def list_digests(text):
    """Return digests of ``text`` that anyone can compute, in hexadecimal."""
    body = text.encode()
    hashes = [hashlib.sha256(body), hashlib.sha1(body), hashlib.md5(body)]
    hashes += [hashlib.blake2b(body, digest_size=size) for size in BYTE_DIGESTS]
    hashes += [xxhash.xxh64(body), xxhash.xxh3_64(body), xxhash.xxh3_128(body)]
    return [each.hexdigest() for each in hashes]


def fingerprint_prompt(prompt, region):
    """Return what a gateway of ``region`` tells others of a crash."""
    digest = hashlib.blake2b(digest_size=16, key=region.encode())
    digest.update(b'llm\0%b\0[]\0' % msgspec.json.encode(prompt))
    return digest.hexdigest()
