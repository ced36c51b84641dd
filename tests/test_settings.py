"""Validation of settings: errors name the file, the key and the valid values."""

import pytest

from ragworthoist import load_settings
from ragworthoist.exceptions import SettingsError

GOOD = """
[node]
service = "stock"
failure_domain = "a"
entrance = { host = "127.0.0.1", port = 7001 }
onward = { host = "127.0.0.1", port = 7002 }
peers = { host = "127.0.0.1", port = 7003 }
operators = { host = "127.0.0.1", port = 7004 }
server = { host = "127.0.0.1", port = 7005 }
[fleet]
name = "lab"
key = "0123456789abcdef"
[store]
url = "http://127.0.0.1:7006"
timeout_ms = 500
[operators]
token = "a-long-token"
"""


class TestLoadSettings:
    def test_reads_a_good_file(self, tmp_path):
        path = tmp_path / "node.toml"
        path.write_text(GOOD)
        settings = load_settings(path)

        assert settings.node.peers.pair == ("127.0.0.1", 7003)
        assert settings.node.region == "main"

    @pytest.mark.parametrize(
        ("old", "new", "key"),
        [
            ('service = "stock"', 'service = "Stock!"', "node.service"),
            ('service = "stock"', "", "node.service"),
            ("port = 7001", "port = 70010", "node.entrance.port"),
            ('host = "127.0.0.1", port = 7002', 'host = "here", port = 7002', None),
            ("timeout_ms = 500", "timeout_seconds = 1", "store.timeout_seconds"),
            ("timeout_ms = 500", "timeout_ms = 0", "store.timeout_ms"),
            ("timeout_ms = 500", 'timeout_ms = "soon"', "store.timeout_ms"),
            ('key = "0123456789abcdef"', 'key = "short"', "fleet.key"),
            ('url = "http://127.0.0.1:7006"', 'url = "ftp://x"', "store.url"),
            ("[operators]", "[operator]", None),
            ("[node]", "[node", "file"),
        ],
    )
    def test_error_names_the_file_the_key_and_what_is_allowed(
        self, tmp_path, old, new, key
    ):
        path = tmp_path / "node.toml"
        path.write_text(GOOD.replace(old, new, 1))

        with pytest.raises(SettingsError) as caught:
            load_settings(path)

        assert str(path) in str(caught.value)
        assert caught.value.allowed
        if key is not None:
            assert caught.value.key == key

    def test_error_names_a_missing_file(self, tmp_path):
        with pytest.raises(SettingsError, match="absent.toml"):
            load_settings(tmp_path / "absent.toml")
