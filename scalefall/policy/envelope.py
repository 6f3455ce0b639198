"""Request and service envelopes of one class on one route (sections 4.1 and 4.2 of the LMAC paper).

The request envelope bounds the number of messages of the class that are admitted within an interval, the service
envelope the time that the route takes to serve k overlapping calls. Admission compares the two
(`Envelope.meets_target`). The names k, tau and sigma are the paper's.
"""

from __future__ import annotations

from collections import deque
from math import ceil, sqrt

from scalefall.policy.units import SECOND

BIN_US = SECOND // 4  # resolution of the request envelope
WINDOW_BINS = 40  # T, the window of both envelopes: 10 s
INTERVAL_LENGTHS_BINS = (1, 2, 5, 10)  # tau: interval lengths that are tested, up to T/4
WINDOW_US = BIN_US * WINDOW_BINS  # T in microseconds
QUANTILE_DEVIATIONS = 1.645  # standard deviations above the mean: the 95th percentile of a Gaussian
MAX_CHAIN_CALLS = 8  # longest chain of overlapping calls that is sampled; longer ones are extrapolated
MIN_COMPLETIONS = 5  # with fewer completions of a class on a route, its figures mean little and are not used
ROUNDING_TOLERANCE = 1e-9  # keeps rounding errors of an integral sum from raising its ceiling by one

CallSpan = list[int]  # start and end of a call in microseconds; end is 0 while it is in flight


class Envelope:
    """Admissions of one class on one route, and service times of the route, over the last window.

    Attributes:
        bins: Admissions within each bin of BIN_US, newest last.
        total: Admissions within the window.
        sigma: Standard deviation of the admissions within an interval, for each of INTERVAL_LENGTHS_BINS.
        service_sums: For each k the number of samples, their sum in seconds, and the sum of their squares.
    """

    __slots__ = ("_bin", "_calls", "_class_envelope", "_samples", "bins", "service_sums", "sigma", "total")

    def __init__(self, class_envelope: Envelope | None = None) -> None:
        """Start empty; class_envelope has the figures of the class over all routes, used while this one has too few."""
        self._class_envelope = class_envelope
        self.bins: list[int] = [0] * WINDOW_BINS
        self._bin = 0  # number of the newest bin, counted from time 0
        self.total = 0
        self.sigma = [0.0] * len(INTERVAL_LENGTHS_BINS)
        self._calls: deque[CallSpan] = deque(maxlen=4 * MAX_CHAIN_CALLS)  # in order of start
        self._samples: deque[tuple[int, int, int]] = deque()  # time of the sample, k, microseconds to serve k calls
        self.service_sums: dict[int, list[float]] = {}

    def advance(self, now: int) -> None:
        """Drop what has left the window."""
        steps = now // BIN_US - self._bin
        if steps > 0:
            self._shift(steps)
        oldest = now - WINDOW_US
        samples = self._samples
        while samples and samples[0][0] < oldest:
            _, k, duration_us = samples.popleft()
            self._remove_sample(k, duration_us / SECOND)

    def _shift(self, steps: int) -> None:
        self._bin += steps
        bins = (self.bins + [0] * min(steps, WINDOW_BINS))[-WINDOW_BINS:]
        self.bins = bins
        self.total = sum(bins)
        if not self.total:
            return  # sigma is unused without admissions
        for index, tau in enumerate(INTERVAL_LENGTHS_BINS):
            mean = self.total * tau / WINDOW_BINS
            squares = sum((sum(bins[at : at + tau]) - mean) ** 2 for at in range(0, WINDOW_BINS, tau))
            self.sigma[index] = sqrt(squares / (WINDOW_BINS // tau - 2))

    def _remove_sample(self, k: int, seconds: float) -> None:
        sums = self.service_sums[k]
        sums[0] -= 1
        sums[1] -= seconds
        sums[2] -= seconds**2
        if sums[0] == 0:
            del self.service_sums[k]

    def _add_sample(self, now: int, k: int, duration_us: int) -> None:
        self._samples.append((now, k, duration_us))
        sums = self.service_sums.setdefault(k, [0, 0.0, 0.0])
        sums[0] += 1
        sums[1] += duration_us / SECOND
        sums[2] += (duration_us / SECOND) ** 2

    def record_admission(self, now: int) -> None:
        """Count an admitted message of the class."""
        self.advance(now)
        self.bins[-1] += 1
        self.total += 1

    def record_start(self, now: int) -> CallSpan:
        """Start a call; its span is passed to record_completion, or its end is set if the call fails."""
        self._calls.append([now, 0])
        return self._calls[-1]

    def record_completion(self, now: int, call: CallSpan) -> None:
        """Complete a successful call: take one sample for each chain of k overlapping calls that ends with it."""
        self.advance(now)
        call[1] = now
        chain_start, k = call[0], 0
        for other in reversed(self._calls):
            started, ended = other
            if started > call[0] or (started == call[0] and other is not call and k == 0):
                continue
            if k == MAX_CHAIN_CALLS or (k and 0 < ended <= chain_start):
                break
            k, chain_start = k + 1, started
            self._add_sample(now, k, now - chain_start)
            if self._class_envelope is not None:
                self._class_envelope.advance(now)
                self._class_envelope._add_sample(now, k, now - chain_start)

    def basis(self) -> Envelope | None:
        """Return the envelope with usable service figures: the route's or, while it has too few samples, the class's.

        None while both have fewer than MIN_COMPLETIONS.
        """
        if self._has_figures():
            return self
        shared = self._class_envelope
        return shared if shared is not None and shared._has_figures() else None

    def _has_figures(self) -> bool:
        sums = self.service_sums.get(1)
        return sums is not None and sums[0] >= MIN_COMPLETIONS

    def max_requests(self, index: int, extra: float) -> int:
        """Return the high-percentile number of requests within the interval INTERVAL_LENGTHS_BINS[index].

        extra is added to the number of requests within the window.
        """
        mean = (self.total + extra) * INTERVAL_LENGTHS_BINS[index] / WINDOW_BINS
        return max(1, ceil(mean + QUANTILE_DEVIATIONS * self.sigma[index] - ROUNDING_TOLERANCE))

    def delay_us(self, k: int) -> float:
        """Return the high-percentile time to serve k overlapping calls; linear beyond the largest sampled k."""
        seen = min(k, max(self.service_sums, default=0))
        while seen and seen not in self.service_sums:
            seen -= 1
        if not seen:
            return 0.0
        number, total, squares = self.service_sums[seen]
        mean = total / number
        spread = sqrt(max(0.0, squares - number * mean * mean) / (number - 1)) if number > 1 else 0.0
        return (mean * k / seen + QUANTILE_DEVIATIONS * spread) * SECOND

    def mean_us(self) -> float:
        """Return the mean time to serve one call; 0 without samples in the window."""
        sums = self.service_sums.get(1)
        return sums[1] / sums[0] * SECOND if sums is not None else 0.0

    def meets_target(self, target_us: int, extra: float, competing_target_us: int | None = None) -> bool:
        """Return whether the class keeps its delay target if extra requests a window are admitted (the LMAC test).

        Args:
            target_us: The delay target of this class.
            extra: Additional requests a window.
            competing_target_us: The delay target of the class of these requests, if it is another one. They then reduce
                the service that is left for this class instead of adding to its requests.
        """
        basis = self.basis()
        if basis is None:
            return True
        own_extra = extra if competing_target_us is None else 0
        for index, tau in enumerate(INTERVAL_LENGTHS_BINS):
            interval_us = tau * BIN_US
            k = self.max_requests(index, own_extra)
            if competing_target_us is not None:
                k += ceil((interval_us + competing_target_us) * extra / WINDOW_US)
            if basis.delay_us(k) > interval_us + target_us:
                return False
        return True
