import pytest

from ragworthoist.core.notices import (
    NOTICE_EXPIRY_SECONDS,
    NoticeTable,
    ServerNotice,
)

ADDRESS = ("10.0.0.1", 1)
NOTICE = ServerNotice("i-1", 5, 12.8, True)


class TestServerNotice:
    @pytest.mark.parametrize(
        "notice", [None, NOTICE, ServerNotice("i-2", 0, None, False)]
    )
    def test_packed_notice_is_unpacked_unchanged(self, notice):
        assert ServerNotice.unpack(notice and notice.pack()) == notice

    def test_fields_of_later_builds_are_ignored(self):
        assert ServerNotice.unpack([*NOTICE.pack(), "more"]) == NOTICE

    @pytest.mark.parametrize("fields", [[], ["i-1", 5, "x", True], 7, ["i-1", 5, 1.0]])
    def test_malformed_fields_are_refused(self, fields):
        with pytest.raises((TypeError, ValueError)):
            ServerNotice.unpack(fields)


class TestNoticeTable:
    @pytest.mark.parametrize(
        ("age", "found"),
        [(0.0, NOTICE), (NOTICE_EXPIRY_SECONDS, NOTICE), (99.0, None)],
    )
    def test_notice_expires(self, age, found):
        table = NoticeTable()
        table.update(ADDRESS, NOTICE, 1.0)
        assert table.get(ADDRESS, 1.0 + age) == found
        assert len(table) == (found is not None)

    def test_none_removes_a_notice(self):
        table = NoticeTable()
        table.update(ADDRESS, NOTICE, 1.0)
        table.update(ADDRESS, None, 1.0)
        assert table.get(ADDRESS, 1.0) is None
