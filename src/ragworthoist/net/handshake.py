"""How two nodes prove to one another that they belong to one fleet."""

import os

from ragworthoist.exceptions import AuthenticationError, FrameError
from ragworthoist.net.frames import (
    NONCE_BYTES,
    PROTOCOL_VERSION,
    FrameKind,
    compute_proof,
)


class Handshake:
    """One side of the handshake of a peer stream.

    Parameters
    ----------
    host : object
        Supplies `instance` and `key`.
    is_initiator : bool
        Whether this side opened the connection.
    """

    def __init__(self, host, is_initiator):
        self._host = host
        self._is_initiator = is_initiator
        self._nonce = os.urandom(NONCE_BYTES)
        self._expected = None
        self.peer = b""

    @property
    def hello(self):
        """The first frame of this side."""
        instance = self._host.instance
        return [int(FrameKind.HELLO), PROTOCOL_VERSION, instance, self._nonce]

    def process_frame(self, frame):
        """Take in a frame of the peer; return the reply, None once it is proven.

        Raises
        ------
        FrameError
            If the frame is no part of a handshake.
        AuthenticationError
            If the peer does not hold the fleet's key.
        """
        if not isinstance(frame, list) or not frame:
            raise FrameError("frame", type(frame).__name__)
        if self._expected is None:
            return self._answer_hello(frame)
        if frame != [FrameKind.PROOF, self._expected]:
            raise AuthenticationError(self.peer.hex())
        return None

    def _answer_hello(self, frame):
        valid = len(frame) == 4 and frame[:2] == [FrameKind.HELLO, PROTOCOL_VERSION]
        if not valid or not isinstance(frame[2], bytes):
            raise FrameError("hello", frame[:2])
        self.peer, peer_nonce = frame[2:]
        own_role, peer_role = (b"o", b"a") if self._is_initiator else (b"a", b"o")
        key = self._host.key
        self._expected = compute_proof(
            key, peer_role, peer_nonce, self._nonce, self.peer
        )
        proof = compute_proof(
            key, own_role, self._nonce, peer_nonce, self._host.instance
        )
        return [int(FrameKind.PROOF), proof]
