"""Limit a rate with a bounded burst."""


class TokenBucket:
    """Hand out tokens at a rate.

    :param rate_per_s: tokens a second.
    :param burst: most tokens that are saved up.
    """

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_s: float | None = None

    def set_rate(self, *, rate_per_s: float, burst: float) -> None:
        """Change the rate for tokens that are earned from now on.

        A burst that grows comes with its tokens, one that shrinks loses
        them.
        """
        self._tokens = max(self._tokens + burst - self._burst, 0.0)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def take(self, now_s: float, *, reserve_share: float = 0.0) -> bool:
        """Take one token and return whether there was one.

        :param now_s: monotonic time.
        :param reserve_share: part of the burst that is left to others.
        """
        if self._filled_s is not None:
            earned = (now_s - self._filled_s) * self._rate_per_s
            self._tokens = min(self._tokens + max(earned, 0.0), self._burst)
        self._filled_s = now_s
        if self._tokens < 1 + reserve_share * self._burst:
            return False
        self._tokens -= 1
        return True
