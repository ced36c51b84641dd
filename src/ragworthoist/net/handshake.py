"""Handshake in which two nodes prove to each other that they hold the fleet's key."""

import os

from ragworthoist.exceptions import AuthenticationError, FrameError
from ragworthoist.net.frames import (
    FRAME_VERSION,
    NONCE_BYTES,
    PROTOCOL_VERSION,
    FrameKind,
    compute_proof,
)


class Handshake:
    """One side of the handshake of a peer stream.

    Parameters
    ----------
    node : object
        The node. It provides `instance` and `key`.
    is_initiator : bool
        Whether this side opened the connection.

    Attributes
    ----------
    peer : bytes
        Instance id of the peer, empty before its first frame.
    frame_version : int
        Version of frames that both sides understand.
    """

    def __init__(self, node, is_initiator):
        self._node = node
        self._is_initiator = is_initiator
        # Builds that know frames of version 1 only take the last byte for a part of
        # the nonce.
        self._nonce = os.urandom(NONCE_BYTES) + bytes([FRAME_VERSION])
        self._expected_proof = None
        self.peer = b""
        self.frame_version = 1

    @property
    def hello(self):
        """The first frame of this side."""
        instance = self._node.instance
        return [int(FrameKind.HELLO), PROTOCOL_VERSION, instance, self._nonce]

    def process_frame(self, frame):
        """Process a frame of the peer and return the reply.

        Returns None once the peer has proven that it holds the fleet's key.

        Raises
        ------
        FrameError
            If the frame is not part of a handshake.
        AuthenticationError
            If the proof of the peer does not match the fleet's key.
        """
        if not isinstance(frame, list) or not frame:
            raise FrameError("frame", type(frame).__name__)
        if self._expected_proof is None:
            return self._answer_hello(frame)
        if frame != [FrameKind.PROOF, self._expected_proof]:
            raise AuthenticationError(self.peer.hex())
        return None

    def _answer_hello(self, frame):
        valid = len(frame) == 4 and frame[:2] == [FrameKind.HELLO, PROTOCOL_VERSION]
        if not valid or not isinstance(frame[2], bytes):
            raise FrameError("hello", frame[:2])
        self.peer, peer_nonce = frame[2:]
        if not isinstance(peer_nonce, bytes):
            raise FrameError("nonce", type(peer_nonce).__name__)
        peer_version = peer_nonce[NONCE_BYTES] if len(peer_nonce) > NONCE_BYTES else 1
        self.frame_version = min(FRAME_VERSION, max(1, peer_version))
        # Roles in the digests: "o" opened the connection, "a" accepted it.
        own_role, peer_role = (b"o", b"a") if self._is_initiator else (b"a", b"o")
        key = self._node.key
        self._expected_proof = compute_proof(
            key, peer_role, peer_nonce, self._nonce, self.peer
        )
        proof = compute_proof(
            key, own_role, self._nonce, peer_nonce, self._node.instance
        )
        return [int(FrameKind.PROOF), proof]
