"""Version of the frames that two nodes of the same or of different builds agree on."""

from types import SimpleNamespace

import pytest

from ragworthoist.core.entities import Answer, Outcome, Reason
from ragworthoist.exceptions import FrameError
from ragworthoist.net.frames import (
    FRAME_VERSION,
    NONCE_BYTES,
    pack_answer,
    unpack_answer,
)
from ragworthoist.net.handshake import Handshake


def make_handshake(name, is_initiator, trailer=None):
    """Return one side; `trailer` replaces what follows the nonce proper."""
    node = SimpleNamespace(instance=name, key=b"k" * 32)
    handshake = Handshake(node, is_initiator)
    if trailer is not None:
        handshake._nonce = handshake._nonce[:NONCE_BYTES] + trailer
    return handshake


@pytest.mark.parametrize(
    ("trailer", "version"),
    [
        (None, FRAME_VERSION),
        # Builds with version 1 send the nonce only.
        (b"", 1),
        (b"\x00", 1),
        (b"\x01", 1),
        (b"\xff", FRAME_VERSION),
        (b"\x02 and more", 2),
    ],
)
def test_sides_agree_on_the_lower_version(trailer, version):
    one, other = make_handshake(b"a", True), make_handshake(b"b", False, trailer)
    proof, other_proof = one.process_frame(other.hello), other.process_frame(one.hello)
    assert one.frame_version == version
    assert one.process_frame(other_proof) is None
    assert other.process_frame(proof) is None


def test_nonce_that_is_no_bytes_is_refused():
    handshake = make_handshake(b"a", True)
    with pytest.raises(FrameError):
        handshake.process_frame([*handshake.hello[:3], "text"])


@pytest.mark.parametrize(
    ("version", "reason"), [(1, Reason.SHED), (FRAME_VERSION, Reason.LIMIT)]
)
def test_peers_get_reasons_that_they_know(version, reason):
    answer = Answer(Outcome.NOT_RUN, Reason.LIMIT)
    found, _, _ = unpack_answer(pack_answer(7, answer, version))
    assert found.reason is reason
