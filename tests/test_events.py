"""The catalogue of events for operators lists the events of the code."""

import re
from pathlib import Path

from ragworthoist.events import Event

CATALOGUE = Path(__file__).parent.parent / "docs" / "EVENTS.md"


class TestEvent:
    def test_the_catalogue_lists_exactly_the_events_of_the_code(self):
        rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", CATALOGUE.read_text(), re.M)
        listed = {int(number): name for number, name in rows}

        assert listed == {int(event): event.name.lower() for event in Event}

    def test_every_event_is_logged_somewhere(self):
        source = Path(__file__).parent.parent / "src" / "ragworthoist"
        code = "".join(p.read_text() for p in source.rglob("*.py"))

        assert [e.name for e in Event if f"Event.{e.name}" not in code] == []
