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


@given("a member table that takes {count:d} random changes, seed {seed:d}")
def apply_random_changes(context, count, seed):
    random_source = random.Random(seed)
    clock = clocks.ManualClock()
    table = membership.MemberTable(
        own=_member(0, 1, models.MemberState.ALIVE),
        random_source=random_source,
        clock=clock,
    )
    context.count_pairs = []
    for _ in range(count):
        clock.advance(
            random_source.choice([0.1, const.DEAD_RECORD_LIFETIME_S / 8])
        )
        member = _member(
            random_source.randrange(1, 9),
            random_source.randrange(1, 4),
            random_source.choice(list(models.MemberState)),
        )
        operation = random_source.choice(
            ["apply", "confirm", "suspect", "tick"]
        )
        if operation == "apply":
            table.apply(member, clock.now_s())
        elif operation == "confirm":
            table.record_contact(member, clock.now_s())
        elif operation == "suspect":
            table.suspect(member.peer_address, clock.now_s())
        else:
            table.tick(clock.now_s())
        context.count_pairs.append(
            (table.live_count, len(table.live_members()) + 1)
        )


@then(
    "after each change the count equals the length of the list of live hosts"
)
def check_counts_agree(context):
    assert all(
        count == listed_count for count, listed_count in context.count_pairs
    )
    assert len({count for count, _ in context.count_pairs}) > 3
