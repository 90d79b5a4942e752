"""Claims of non-idempotent calls by Idempotency-Key.

A claim names the only agent start and attempt that may run the call. It is created
only if its key is absent. It is replaced only by compare-and-swap, after the agent has
confirmed that the attempt did not run and never will.
"""

import base64
import enum
import hashlib
import json

import attrs

from carobstand import errors
from carobstand.core import attempts

LIFETIME_S = 24 * 3600.0
"""Lifetime of a claim in the store."""

FORMAT = 1


@attrs.frozen
class StoredResponse:
    """Response that is returned to repeated calls."""

    status: int
    headers: tuple
    body: bytes


@attrs.frozen
class Claim:
    """Value of a claim key.

    `digest` identifies the request. `finished` says that the call is complete;
    `response` is None until then, or if the response was too large to be stored.
    """

    digest: str
    entry_start_id: str
    vm: str
    agent_start_id: str
    attempt_id: int
    finished: bool = False
    response: StoredResponse | None = None


class Action(enum.Enum):
    """How to proceed with a claim found in the store."""

    MISMATCH = "another request has this key"
    REPLAY = "the stored response is returned"
    RESPONSE_NOT_HELD = "the call ran, its response is no longer held"
    ASK_AGENT = "the agent is asked"


def store_key(customer, idempotency_key):
    """Return the store key of a claim; keys of different customers never collide."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"claims/{customer}/{digest}"


def request_digest(service, method, path, body):
    """Return the digest that is equal for repeats of the same request."""
    hasher = hashlib.sha256()
    for part in (service, method, path):
        hasher.update(f"{len(part)}:{part}".encode())
    hasher.update(body)
    return hasher.hexdigest()


def next_action(claim, digest):
    """Return the action for a claim found by a request with `digest`."""
    if claim.digest != digest:
        return Action.MISMATCH
    if claim.finished:
        return Action.REPLAY if claim.response is not None else Action.RESPONSE_NOT_HELD
    return Action.ASK_AGENT


def may_replace(phase):
    """Whether a claim may be replaced, given the phase that its agent replied."""
    return phase in (attempts.Phase.NOT_SEEN, attempts.Phase.REFUSED)


def finish(claim, status, headers, body):
    """Return the claim with the response of its call; `body` is None if too large."""
    if claim.finished:
        raise errors.InvariantError("the claim has an outcome", step="claims.finish")
    stored = (
        None if body is None else StoredResponse(status, tuple(headers), bytes(body))
    )
    return attrs.evolve(claim, finished=True, response=stored)


def encode(claim):
    """Return the store value of `claim`."""
    doc = {
        "format": FORMAT,
        "digest": claim.digest,
        "entry": claim.entry_start_id,
        "vm": claim.vm,
        "agent": claim.agent_start_id,
        "attempt": claim.attempt_id,
        "finished": claim.finished,
    }
    if claim.response is not None:
        doc["status"] = claim.response.status
        doc["headers"] = [list(item) for item in claim.response.headers]
        doc["body"] = base64.b64encode(claim.response.body).decode()
    return json.dumps(doc).encode()


def decode(data):
    """Return the claim of a store value.

    Raises
    ------
    StoreError
        If the value is malformed or of another format.
    """
    try:
        doc = json.loads(data)
        if doc["format"] != FORMAT:
            raise ValueError(f"format {doc['format']}")
        response = None
        if "status" in doc:
            headers = tuple((str(name), str(val)) for name, val in doc["headers"])
            body = base64.b64decode(doc["body"], validate=True)
            response = StoredResponse(int(doc["status"]), headers, body)
        return Claim(
            digest=str(doc["digest"]),
            entry_start_id=str(doc["entry"]),
            vm=str(doc["vm"]),
            agent_start_id=str(doc["agent"]),
            attempt_id=int(doc["attempt"]),
            finished=bool(doc["finished"]),
            response=response,
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.StoreError(
            f"malformed claim: {exc}", step="claims.decode"
        ) from exc
