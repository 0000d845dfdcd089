import random

from behave import given
from behave import then

from trefoilstand.peers import const
from trefoilstand.peers import membership
from trefoilstand.peers import models
from trefoilstand.util import clock as clocks


def _member(number, incarnation, state):
    return models.Member(
        peer_address=f"10.0.0.{number}:1",
        caller_address=f"10.0.0.{number}:2",
        failure_domain="a",
        process_id=f"p{number}-{incarnation}",
        incarnation=incarnation,
        state=state,
    )


@given("a table of members that takes {count:d} drawn changes, seed {seed:d}")
def drawn_changes(context, count, seed):
    source = random.Random(seed)
    clock = clocks.ManualClock()
    table = membership.MemberTable(
        own=_member(0, 1, models.MemberState.ALIVE),
        random_source=source,
        clock=clock,
    )
    context.pairs = []
    for _ in range(count):
        clock.advance(source.choice([0.1, const.DEAD_RECORD_LIFETIME_S / 8]))
        member = _member(
            source.randrange(1, 9),
            source.randrange(1, 4),
            source.choice(list(models.MemberState)),
        )
        act = source.choice(["apply", "confirm", "suspect", "tick"])
        if act == "apply":
            table.apply(member, clock.now_s())
        elif act == "confirm":
            table.record_contact(member, clock.now_s())
        elif act == "suspect":
            table.suspect(member.peer_address, clock.now_s())
        else:
            table.tick(clock.now_s())
        context.pairs.append((table.live_count, len(table.live_members()) + 1))


@then("after each the count is that of the list of live hosts")
def counts_agree(context):
    assert all(count == listed for count, listed in context.pairs)
    assert len({count for count, _ in context.pairs}) > 3
