import pytest

from ragworthoist.core.turns import ITEMS_PER_TURN, ParsingTurns


@pytest.mark.parametrize(
    ("items", "waiting", "parsed"),
    [
        (ITEMS_PER_TURN, 3, 1),
        (ITEMS_PER_TURN // 2, 3, 2),
        (1, 3, 3),
        # A connection that has nothing to parse any more.
        (0, 3, 3),
    ],
)
def test_bounded_number_of_items_is_parsed_in_a_turn(items, waiting, parsed):
    turns = ParsingTurns()
    for number in range(waiting):
        turns.join(number)
    seen = []

    def parse(connection):
        seen.append(connection)
        return items

    turns.take_turn(parse)
    assert seen == list(range(parsed))
    assert bool(turns) is (parsed < waiting)


def test_connections_with_more_input_take_turns():
    turns = ParsingTurns()
    turns.join("a")
    turns.join("b")
    seen = []

    def parse(connection):
        seen.append(connection)
        turns.join(connection)
        return ITEMS_PER_TURN

    for _ in range(4):
        turns.take_turn(parse)
    assert seen == ["a", "b", "a", "b"]


def test_connection_that_joins_in_a_turn_waits_for_the_next_one():
    turns = ParsingTurns()
    turns.join("a")
    turns.take_turn(lambda connection: turns.join(connection))
    assert turns
