import asyncio
import re

from behave import given
from behave import then
from behave import when

from features.support import reading_host

_RUN_LENGTH_S = 45.0
_SAMPLE_INTERVAL_S = 0.05


def _cut_times(cuts):
    if cuts == "never":
        return ()
    seconds = float(re.search(r"[\d.]+", cuts)[0])
    if cuts.startswith("once"):
        return (seconds,)
    return tuple(
        number * seconds for number in range(1, int(_RUN_LENGTH_S / seconds))
    )


@given("a store whose watches are cut {cuts}")
def store_with_cut_watches(context, cuts):
    context.cut_times_s = _cut_times(cuts)
    context.outages_s = ()


@given("a store that is down from {outages}")
def store_with_outages(context, outages):
    context.cut_times_s = ()
    context.outages_s = tuple(
        (float(start), float(end))
        for start, end in re.findall(r"([\d.]+) s to ([\d.]+) s", outages)
    )


@given(
    "host {number:d} whose readers of the store are lost after {lost_s:g} s"
)
def host_without_readers(context, number, lost_s):
    context.cut_times_s = ()
    context.outages_s = ()
    context.seed = number
    context.readers_lost_s = lost_s


def _run(context, scenario, target_count=5):
    reading_host.run(
        scenario,
        cut_times_s=context.cut_times_s,
        outages_s=context.outages_s,
        target_count=target_count,
        seed=getattr(context, "seed", 1),
        readers_lost_s=getattr(context, "readers_lost_s", None),
    )


@when("the entry of a target disappears after {removed_s:g} s")
def remove_one_of_many(context, removed_s):
    _remove_one(context, removed_s, 5)


@when("the entry of one of 2 targets disappears after {removed_s:g} s")
def remove_one_of_two(context, removed_s):
    _remove_one(context, removed_s, 2)


def _remove_one(context, removed_s, target_count):
    async def scenario(clock, store, host):
        await asyncio.sleep(removed_s)
        assert host.uses("t0")
        store.remove("servers/t0")
        context.uses = []
        while clock.now_s() < removed_s + 8:
            context.uses.append((clock.now_s() - removed_s, host.uses("t0")))
            assert host.uses("t1")
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    _run(context, scenario, target_count)


@then("the target gets new requests for {minimum_s:g} s")
def check_used(context, minimum_s):
    early = [
        is_used for after_s, is_used in context.uses if after_s < minimum_s
    ]
    assert early and all(early), early


@then("the target gets no new requests {bound_s:g} s later")
def check_not_used(context, bound_s):
    late_s = [after_s for after_s, is_used in context.uses if is_used]
    assert max(late_s, default=0.0) < bound_s, max(late_s)


def _record_expiry(context, expire_s, back_s):
    async def scenario(clock, store, host):
        await asyncio.sleep(expire_s)
        assert all(host.uses(f"t{number}") for number in range(5))
        for number in range(5):
            store.remove(f"servers/t{number}")
        context.samples = []
        is_back = False
        while clock.now_s() < _RUN_LENGTH_S:
            if not is_back and clock.now_s() >= back_s:
                is_back = True
                for number in range(5):
                    store.put(
                        f"servers/t{number}", reading_host.make_entry(number)
                    )
            context.samples.append(
                (
                    clock.now_s(),
                    sum(host.uses(f"t{number}") for number in range(5)),
                )
            )
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    _run(context, scenario)


@when("all entries expire in the first outage and return after {back_s:g} s")
def expire_in_outage(context, back_s):
    _record_expiry(context, context.outages_s[0][0] + 2.9, back_s)


@when("all entries expire after {expire_s:g} s and return after {back_s:g} s")
def expire_later(context, expire_s, back_s):
    _record_expiry(context, expire_s, back_s)


@then("all targets stay in use throughout")
def check_all_used(context):
    lost = [(at_s, count) for at_s, count in context.samples if count < 5]
    assert not lost, lost[:3]


@then("no target is in use {bound_s:g} s after the outage")
def check_none_used(context, bound_s):
    checked_s = context.outages_s[-1][1] + bound_s
    counts = [count for at_s, count in context.samples if at_s >= checked_s]
    assert counts and not any(counts), counts[:5]
