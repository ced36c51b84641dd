"""Version of the frames that two nodes of the same or of different builds agree on."""

from types import SimpleNamespace

import pytest

from ragworthoist.core.entities import Answer, Call, Outcome, Reason
from ragworthoist.core.notices import ServerNotice
from ragworthoist.exceptions import FrameError
from ragworthoist.net.frames import (
    FRAME_VERSION,
    NONCE_BYTES,
    pack_answer,
    pack_call,
    unpack_answer,
    unpack_call,
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


@pytest.mark.parametrize(("version", "fields"), [(1, 0), (FRAME_VERSION, 1)])
@pytest.mark.parametrize("notice", [None, ServerNotice("i-1", 5, 12.8, True)])
def test_notices_are_sent_to_peers_that_know_them(version, fields, notice):
    call = Call(b"id", "k", 0, 1.0, 2.0, 1, 0, "shop", "GET", "/", notice=notice)
    answer = Answer(Outcome.COMPLETED, Reason.ANSWERED, 200, notice=notice)
    frames = (pack_call(1, call, 1.0, version), pack_answer(1, answer, version))
    assert [len(frame) for frame in frames] == [19 + fields, 12 + fields]
    expected = notice if fields else None
    assert unpack_call(frames[0], 0.0)[0].notice == expected
    assert unpack_answer(frames[1])[0].notice == expected


@pytest.mark.parametrize(
    ("version", "reason"), [(1, Reason.SHED), (FRAME_VERSION, Reason.LIMIT)]
)
def test_peers_get_reasons_that_they_know(version, reason):
    answer = Answer(Outcome.NOT_RUN, Reason.LIMIT)
    found, _, _ = unpack_answer(pack_answer(7, answer, version))
    assert found.reason is reason
