"""Operators' text of the fleets that tests start."""

_HEAD = """format_version = 1
[measuring]
fleet_probes_per_second = 40.0
fleet_bytes_per_second = 40000.0
target_probes_per_second = 4.0
max_entry_processes = 8
"""
_SERVICE = """
[services.{name}]
deadline_ms = {deadline_ms}
unstarted_replies = [{{ status = 503, header = "Target-Shed" }}]
[services.{name}.objective]
answered_ratio = 0.999
latency_ms = 100
latency_ratio = 0.99
"""
_TARGET = """
[[services.{name}.targets]]
address = "{network}.{index}.{number}:9000"
failure_domain = "{domain}"
slots = 6
"""


def make_text(network, deadline_ms=2000):
    text = _HEAD
    for index, name in enumerate(("quotes", "bookings"), start=1):
        text += _SERVICE.format(name=name, deadline_ms=deadline_ms)
        for number in range(1, 7):
            text += _TARGET.format(
                name=name,
                network=network,
                index=index,
                number=number,
                domain="abc"[number % 3],
            )
    return text
