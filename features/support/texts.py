"""Small operators' texts."""

HEAD = """
format_version = 1
[measuring]
fleet_probes_per_second = 100.0
fleet_bytes_per_second = 100000.0
target_probes_per_second = 10.0
[services.quotes]
[services.quotes.objective]
answered_ratio = 0.99
latency_ms = 100
latency_ratio = 0.99
"""
TARGET = """
[[services.quotes.targets]]
address = "127.9.0.{number}:9000"
failure_domain = "a"
slots = 6
state = "{state}"
"""


def make_text(targets, leaving=0):
    return HEAD + "".join(
        TARGET.format(
            number=number + 1,
            state="leaving" if number < leaving else "active",
        )
        for number in range(targets)
    )
