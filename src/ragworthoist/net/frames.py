"""Frames of the stream between two nodes, and gossip datagrams.

A frame is a msgpack list that starts with the frame kind and the id of the call it
belongs to. Bodies longer than `CHUNK_BYTES` follow their call or answer in chunk
frames, and an end frame repeats the length.
"""

import hashlib
import hmac
from enum import IntEnum

import msgpack

from ragworthoist.core.entities import Answer, Call, Outcome, Reason
from ragworthoist.core.members import Message
from ragworthoist.core.notices import ServerNotice
from ragworthoist.exceptions import AuthenticationError, FrameError

PROTOCOL_VERSION = 1
# Version of the frames that this build understands. A stream uses the lower one of its
# two sides, see `Handshake.frame_version`.
FRAME_VERSION = 2
CHUNK_BYTES = 32_768
# Bytes of one body that can be sent before the receiver grants credit.
WINDOW_BYTES = 8 * CHUNK_BYTES
MAX_BODY_BYTES = 8 * 1024 * 1024
# Length field of a body that is streamed and whose length is not known.
STREAMED_LENGTH = -1
MAX_FRAME_BYTES = 256 * 1024
MAX_DATAGRAM_BYTES = 1400
DIGEST_BYTES = 16
NONCE_BYTES = 16


# Used for each answer: a dict lookup takes a tenth of the time of an enum call.
_OUTCOMES = {outcome.value: outcome for outcome in Outcome}
_REASONS = {reason.value: reason for reason in Reason}
# Reasons that builds with frames of version 1 do not know, and what they get instead.
_REASONS_IN_VERSION_1 = {Reason.LIMIT: Reason.SHED}


class FrameKind(IntEnum):
    """Kinds of frames.

    `HELLO` and `PROOF` form the handshake. Long bodies are sent in `CHUNK` frames:
    `CREDIT` allows the sender more bytes, `END` completes a body, and `CUT` ends that
    of an answer whose source ended early. `CANCEL` ends a call or the body of its
    answer. `EXCHANGE` and `EXCHANGED` carry member records, `FETCH` requests the
    configuration document and `FETCHED` carries it. `CHECK` asks a peer whether it
    still responds, and `CHECKED` answers that.
    """

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


def pack_call(call_id, call, remaining, frame_version=FRAME_VERSION):
    """Return the frame of `call` for a peer that uses `frame_version`.

    `remaining` is the time until the deadline of the call, in seconds.
    """
    length, inline = _split_body(call.body)
    frame = [
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
    return _append_notice(frame, call.notice, frame_version)


def unpack_call(frame, now):
    """Return (call, body length, whether the body is complete) of a frame.

    `now` is the local monotonic time in seconds, from which the deadline of the
    call is computed.

    Raises
    ------
    FrameError
        If the frame is not a well-formed call.
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
            *later_fields,
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
            notice=_unpack_notice(later_fields),
        )
    except (TypeError, ValueError) as error:
        raise FrameError("call", str(error)) from None
    _check_length(length, inline)
    return call, length, inline is not None


def pack_answer(call_id, answer, frame_version=FRAME_VERSION):
    """Return the frame of `answer` for a peer that uses `frame_version`."""
    length, inline = _split_body(answer.body)
    reason = answer.reason
    if frame_version < 2:
        reason = _REASONS_IN_VERSION_1.get(reason, reason)
    frame = [
        int(FrameKind.ANSWER),
        call_id,
        int(answer.outcome),
        reason.value,
        answer.status,
        answer.headers,
        answer.unused_retries,
        answer.retryable,
        answer.levels,
        answer.load,
        length,
        inline,
    ]
    return _append_notice(frame, answer.notice, frame_version)


def unpack_answer(frame):
    """Return (answer, body length, whether the body is complete) of a frame.

    Raises
    ------
    FrameError
        If the frame is not a well-formed answer.
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
            *later_fields,
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
            notice=_unpack_notice(later_fields),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise FrameError("answer", str(error)) from None
    _check_length(length, body)
    return answer, length, body is not None


def _append_notice(frame, notice, frame_version):
    # Frames of version 1 have no field for it.
    if frame_version >= 2:
        frame.append(notice and notice.pack())
    return frame


def _unpack_notice(later_fields):
    return ServerNotice.unpack(later_fields[0]) if later_fields else None


def _split_body(body):
    """Return the length and inline body fields of a frame.

    The inline body is None if the body is sent in chunk frames.
    """
    if not isinstance(body, bytes):
        return STREAMED_LENGTH, None
    return len(body), body if len(body) <= CHUNK_BYTES else None


def _check_length(length, inline):
    if length == STREAMED_LENGTH and inline is None:
        return
    if not isinstance(length, int) or not 0 <= length <= MAX_BODY_BYTES:
        raise FrameError("body length", length)
    if inline is not None and (not isinstance(inline, bytes) or len(inline) != length):
        raise FrameError("body", "length differs from the length field")


def compute_proof(key, role, own_nonce, peer_nonce, instance):
    """Return the digest that proves that a node holds the fleet's `key`.

    `role` differs between the two sides of a stream.
    """
    payload = b"|".join((role, own_nonce, peer_nonce, instance))
    return hashlib.blake2b(payload, key=key, digest_size=DIGEST_BYTES).digest()


def seal_datagram(message, key):
    """Return `message` as a datagram, preceded by its keyed digest."""
    payload = msgpack.packb(message.pack())
    return _digest(payload, key) + payload


def open_datagram(data, key, peer):
    """Return the `Message` in a datagram.

    Raises
    ------
    AuthenticationError
        If the digest does not match the payload under `key`.
    FrameError
        If the payload is not a message.
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
