"""Limit a rate with a bounded burst."""


class TokenBucket:
    """Token bucket that is refilled at a constant rate.

    :param rate_per_s: refill rate in tokens per second.
    :param burst: capacity of the bucket in tokens.
    """

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._last_refill_s: float | None = None

    def set_rate(
        self, *, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        """Change the rate of later refills and the capacity.

        A larger capacity brings no tokens with it.

        :param rate_per_s: refill rate in tokens per second.
        :param burst: capacity of the bucket in tokens.
        :param now_s: monotonic time in seconds.
        """
        self._refill(now_s)
        self._tokens = min(self._tokens, burst)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def adjust(self, tokens: float) -> None:
        """Add tokens up to the capacity, or remove some.

        More tokens than there are may be removed; the debt is refilled first.

        :param tokens: number of tokens, negative to remove them.
        """
        self._tokens = min(self._tokens + tokens, self._burst)

    def _refill(self, now_s: float) -> None:
        if self._last_refill_s is not None:
            refilled = (now_s - self._last_refill_s) * self._rate_per_s
            self._tokens = min(self._tokens + max(refilled, 0.0), self._burst)
        self._last_refill_s = now_s

    def try_acquire(self, now_s: float, *, reserve_share: float = 0.0) -> bool:
        """Acquire one token and return whether one was available.

        :param now_s: monotonic time in seconds.
        :param reserve_share: share of the burst that must remain, 0 to 1.
        """
        self._refill(now_s)
        if self._tokens < 1 + reserve_share * self._burst:
            return False
        self._tokens -= 1
        return True
