"""Codecs of the platform objects for gossip seeds and leases.

`seeds/<failure domain>` lists gossip addresses through which a node joins the
cluster, and `leases/<role>` names the node that holds a role.
"""

import json
from collections.abc import Iterable
from typing import Any, Final

from expression import Error, Ok, Result

SEEDS_PREFIX: Final = "seeds/"
MAX_SEEDS: Final = 8
_MAX_TEXT_CHARS: Final = 64


def seeds_object_name(failure_domain: str) -> str:
    """Returns the name of a failure domain's seeds object."""
    return f"{SEEDS_PREFIX}{failure_domain}"


def lease_object_name(role: str) -> str:
    """Returns the name of a role's lease object."""
    return f"leases/{role}"


def encode_seeds(addresses: Iterable[str]) -> bytes:
    """Encodes the first 8 of the given gossip addresses as JSON.

    >>> encode_seeds(["10.0.0.1:7401"])
    b'{"addresses":["10.0.0.1:7401"]}'
    """
    seeds = list(addresses)[:MAX_SEEDS]
    return json.dumps({"addresses": seeds}, separators=(",", ":")).encode()


def decode_seeds(data: bytes) -> Result[tuple[str, ...], str]:
    """Parses a seeds object; the error names the invalid key."""
    parsed = _parse_object(data, ("addresses",))
    if parsed.is_error():
        return Error(parsed.error)
    addresses = parsed.ok["addresses"]
    if not isinstance(addresses, list) or len(addresses) > MAX_SEEDS:
        return Error(f"addresses: expected a list of at most {MAX_SEEDS}")
    for index, address in enumerate(addresses):
        if not _is_address(address):
            return Error(f"addresses.{index}: expected ip:port")
    return Ok(tuple(addresses))


def encode_lease(holder: str, incarnation: int, term: int) -> bytes:
    """Encodes a lease as JSON; a released lease has an empty holder.

    Args:
        holder: Id of the node that holds the role, or empty.
        incarnation: Incarnation of the holder's process.
        term: Number of the lease term.
    """
    content = {"holder": holder, "incarnation": incarnation, "term": term}
    return json.dumps(content, separators=(",", ":")).encode()


def decode_lease(data: bytes) -> Result[tuple[str, int, int], str]:
    """Parses a lease object into holder, incarnation and term.

    The error names the invalid key.
    """
    parsed = _parse_object(data, ("holder", "incarnation", "term"))
    if parsed.is_error():
        return Error(parsed.error)
    content = parsed.ok
    if not _is_short_text(content["holder"]):
        return Error("holder: expected text of at most 64 characters")
    for key in ("incarnation", "term"):
        if type(content[key]) is not int or content[key] < 0:
            return Error(f"{key}: expected a whole number of at least 0")
    return Ok((content["holder"], content["incarnation"], content["term"]))


def _parse_object(
    data: bytes, keys: tuple[str, ...]
) -> Result[dict[str, Any], str]:
    try:
        content = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Error(f"not JSON: {error}")
    if not isinstance(content, dict) or set(content) != set(keys):
        return Error(f"expected the keys {', '.join(keys)}")
    return Ok(content)


def _is_short_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= _MAX_TEXT_CHARS


def _is_address(value: object) -> bool:
    if not isinstance(value, str) or len(value) > _MAX_TEXT_CHARS:
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdecimal() and port.isascii()
