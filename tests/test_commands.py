"""The command line: exit codes and the first error of an invalid configuration."""

import pytest

from ragworthoist._commands import run_command

GOOD = """
[defaults]
ranks = ["protected", "browsing"]
[[defaults.kinds]]
name = "welfare"
service = "welfare"
rank = "protected"
[[exceptions]]
name = "slow-week"
reason = "the stock service moves house this week"
author = "ana"
kind = "welfare"
set = { deadline_ms = 3000 }
"""


class TestCheck:
    @pytest.mark.parametrize(
        ("old", "new", "code", "text"),
        [
            ("", "", 0, "no fault found"),
            ('rank = "protected"', 'rank = "high"', 3, "allowed: ['protected'"),
            ('reason = "the stock service moves house this week"', "", 3, "reason"),
            ("deadline_ms = 3000", "deadline_ms = -1", 3, "deadline_ms"),
            ("deadline_ms = 3000", "colour = 1", 3, "colour"),
            ('kind = "welfare"', "", 3, "names a kind, a service, or both"),
            ("[defaults]", "[defaults", 3, "TOML"),
        ],
    )
    def test_reports_the_first_error(self, tmp_path, capsys, old, new, code, text):
        path = tmp_path / "fleet.toml"
        path.write_text(GOOD.replace(old, new, 1))

        assert run_command(["check", str(path), "--configuration"]) == code
        output = capsys.readouterr()
        assert text in output.out + output.err


class TestRunCommand:
    def test_prints_the_version(self, capsys):
        assert run_command(["version"]) == 0
        assert capsys.readouterr().out.strip()

    def test_wrong_usage_exits_with_2(self):
        with pytest.raises(SystemExit) as caught:
            run_command(["defaults", "edit"])
        assert caught.value.code == 2
