"""Frames of the stream between two nodes, and the datagrams of the gossip.

A frame is a msgpack list that starts with its kind and the id of the call it
belongs to. Bodies longer than `CHUNK_BYTES` follow their head in chunks and are
closed by an end frame that repeats the length.
"""

import hashlib
import hmac
from enum import IntEnum

import msgpack

from ragworthoist.core.entities import Answer, Call, Outcome, Reason
from ragworthoist.core.members import Message
from ragworthoist.exceptions import AuthenticationError, FrameError

PROTOCOL_VERSION = 1
CHUNK_BYTES = 32_768
WINDOW_BYTES = 8 * CHUNK_BYTES
MAX_BODY_BYTES = 8 * 1024 * 1024
# Stands for the length of a body that is streamed as it arrives.
STREAMED_LENGTH = -1
MAX_FRAME_BYTES = 256 * 1024
MAX_DATAGRAM_BYTES = 1400
DIGEST_BYTES = 16
NONCE_BYTES = 16


# Looked up for each answer; calling an enumeration takes ten times as long.
_OUTCOMES = {outcome.value: outcome for outcome in Outcome}
_REASONS = {reason.value: reason for reason in Reason}


class FrameKind(IntEnum):
    """Kinds of frames."""

    HELLO = 0
    PROOF = 1
    CALL = 2
    ANSWER = 3
    CHUNK = 4
    END = 5
    CREDIT = 6
    CANCEL = 7
    EXCHANGE = 8
    EXCHANGED = 9
    FETCH = 10
    FETCHED = 11
    CUT = 12
    CHECK = 13
    CHECKED = 14


def pack_call(call_id, call, remaining):
    """Return the frame of `call`, which has `remaining` seconds left."""
    length, inline = _split_body(call.body)
    return [
        int(FrameKind.CALL),
        call_id,
        call.request_id,
        call.kind,
        call.rank,
        call.weight,
        remaining,
        call.draw,
        call.retry_allowance,
        call.service,
        call.method,
        call.target,
        call.headers,
        call.idempotent,
        call.is_retry,
        call.ticket,
        call.latency_target,
        length,
        inline,
    ]


def unpack_call(frame, now):
    """Return (call, body length, whether the body is complete) of a frame.

    Raises
    ------
    FrameError
        If the frame is no well-formed call.
    """
    try:
        (
            _,
            _,
            request_id,
            kind,
            rank,
            weight,
            remaining,
            draw,
            retry_allowance,
            service,
            method,
            target,
            headers,
            idempotent,
            is_retry,
            ticket,
            latency_target,
            length,
            inline,
        ) = frame
        call = Call(
            request_id=bytes(request_id),
            kind=str(kind),
            rank=int(rank),
            weight=max(float(weight), 0.001),
            deadline=now + float(remaining),
            draw=int(draw),
            retry_allowance=max(0, int(retry_allowance)),
            service=str(service),
            method=str(method),
            target=str(target),
            headers=[(bytes(name), bytes(value)) for name, value in headers],
            body=inline or b"",
            idempotent=bool(idempotent),
            is_retry=bool(is_retry),
            ticket=bytes(ticket),
            latency_target=max(float(latency_target), 0.001),
        )
    except (TypeError, ValueError) as error:
        raise FrameError("call", str(error)) from None
    _check_length(length, inline)
    return call, length, inline is not None


def pack_answer(call_id, answer):
    """Return the frame of `answer`."""
    length, inline = _split_body(answer.body)
    return [
        int(FrameKind.ANSWER),
        call_id,
        int(answer.outcome),
        answer.reason.value,
        answer.status,
        answer.headers,
        answer.unused_retries,
        answer.retryable,
        answer.levels,
        answer.load,
        length,
        inline,
    ]


def unpack_answer(frame):
    """Return (answer, body length, whether the body is complete) of a frame.

    Raises
    ------
    FrameError
        If the frame is no well-formed answer.
    """
    try:
        (
            _,
            _,
            outcome,
            reason,
            status,
            headers,
            unused_retries,
            retryable,
            levels,
            load,
            length,
            body,
        ) = frame
        answer = Answer(
            outcome=_OUTCOMES[outcome],
            reason=_REASONS[reason],
            status=int(status),
            headers=[(bytes(name), bytes(value)) for name, value in headers],
            body=body or b"",
            unused_retries=int(unused_retries),
            retryable=bool(retryable),
            levels=[(str(kind), int(level)) for kind, level in levels],
            load=float(load),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise FrameError("answer", str(error)) from None
    _check_length(length, body)
    return answer, length, body is not None


def _split_body(body):
    """Return (length, inline part) of a body as they stand in a frame."""
    if not isinstance(body, bytes):
        return STREAMED_LENGTH, None
    return len(body), body if len(body) <= CHUNK_BYTES else None


def _check_length(length, inline):
    if length == STREAMED_LENGTH and inline is None:
        return
    if not isinstance(length, int) or not 0 <= length <= MAX_BODY_BYTES:
        raise FrameError("body length", length)
    if inline is not None and (not isinstance(inline, bytes) or len(inline) != length):
        raise FrameError("body", "length differs from its head")


def compute_proof(key, role, own_nonce, peer_nonce, instance):
    """Return the proof that a node holds the fleet's `key`."""
    payload = b"|".join((role, own_nonce, peer_nonce, instance))
    return hashlib.blake2b(payload, key=key, digest_size=DIGEST_BYTES).digest()


def seal_datagram(message, key):
    """Return `message` as an authenticated datagram."""
    payload = msgpack.packb(message.pack())
    return _digest(payload, key) + payload


def open_datagram(data, key, peer):
    """Return the `Message` in a datagram.

    Raises
    ------
    AuthenticationError
        If the datagram was not sealed with `key`.
    FrameError
        If it holds no message.
    """
    digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _digest(payload, key)):
        raise AuthenticationError(peer)
    try:
        return Message.unpack(msgpack.unpackb(payload))
    except (TypeError, ValueError, IndexError, msgpack.UnpackException) as error:
        raise FrameError("datagram", str(error)) from None


def _digest(payload, key):
    return hashlib.blake2b(payload, key=key, digest_size=DIGEST_BYTES).digest()
