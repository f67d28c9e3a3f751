"""The control set: the candidate endpoints of a request, drawn at random by learned inclusion probabilities.

Owns the ready endpoints and their inclusion probabilities.  Based on "Dynamic scope of control in decentralized load
balancing" (see the paper's section 3): each agent holds a probability c per endpoint, draws its scope of control by
independent trials, and moves c by the linear reward-penalty scheme of learning automata, c + a(1 - c) on success and
c(1 - b) on failure.  `inclusion_probability` is c, `REWARD_STEP` is a, `PENALTY_STEP` is b.
"""

from __future__ import annotations

from math import frexp, log, log1p

from .context import DecisionContext
from .records import EndpointRecord

REWARD_STEP = 0.1
PENALTY_STEP = 0.15
MIN_EXPECTED_SET = 4.0  # bounds of the expected control set size
MAX_EXPECTED_SET = 8.0
REFILL_STEP = 0.5  # a refill raises an inclusion probability by this
MAX_REFILL_DRAWS = 24
MIN_PROBABILITY_SET_SIZE = 0.3  # expected set size with all endpoints at the minimum probability
MAX_PROBABILITY = 0.98
MAX_MIN_PROBABILITY = 0.5
CROSS_ZONE_SKIP_FACTOR = 100  # scales how often a refill skips an endpoint of another zone, by the price
UNITS_PER_ENDPOINT = 2.0**60  # of the expected size; a power of two, so that scaling does not round
BUCKETS = 14  # bucket k holds probabilities in (2^-(k+1), 2^-k], the last bucket all lower ones


class ControlSet:
    """Keeps the ready endpoints in buckets by inclusion probability."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.ready: list[EndpointRecord] = []
        self.buckets: list[list[EndpointRecord]] = [[] for _ in range(BUCKETS)]
        self._expected_size_units = 0  # an integer, as a float that is added to and subtracted from would drift
        self._min_probability = 0.01
        self._bucket_draws = [  # each bucket after the first, its maximum probability p and log(1 - p)
            (bucket, 0.5**k, log1p(-(0.5**k))) for k, bucket in enumerate(self.buckets) if k
        ]

    @property
    def expected_size(self) -> float:
        """The expected size of a control set: the sum of all inclusion probabilities, 0 without ready endpoints."""
        return self._expected_size_units / UNITS_PER_ENDPOINT

    def add(self, endpoint: EndpointRecord) -> None:
        """Make an endpoint available, at the minimum probability."""
        endpoint.ready = True
        self.ready.append(endpoint)
        self._insert_into_bucket(endpoint, self._min_probability)

    def remove(self, endpoint: EndpointRecord) -> None:
        """Make an endpoint unavailable immediately; no effect if it already is."""
        if endpoint.ready:
            endpoint.ready = False
            self.ready.remove(endpoint)
            self._remove_from_bucket(endpoint)

    def set_min_probability(self, endpoints: int) -> None:
        """Set the minimum probability for a number of endpoints; it applies to an endpoint from its next update."""
        self._min_probability = min(MAX_MIN_PROBABILITY, MIN_PROBABILITY_SET_SIZE / max(1, endpoints))

    def reward(self, endpoint: EndpointRecord) -> None:
        """Raise the probability after a success, unless the expected control set is already large enough."""
        if not endpoint.ready or self.expected_size > MAX_EXPECTED_SET:
            return
        self._remove_from_bucket(endpoint)
        self._insert_into_bucket(
            endpoint, endpoint.inclusion_probability + REWARD_STEP * (1 - endpoint.inclusion_probability)
        )

    def penalize(self, endpoint: EndpointRecord) -> None:
        """Lower the probability after a failure."""
        if not endpoint.ready:
            return
        self._remove_from_bucket(endpoint)
        self._insert_into_bucket(endpoint, endpoint.inclusion_probability * (1 - PENALTY_STEP))
        self.refill()

    def refill(self) -> None:
        """Raise the probabilities of random endpoints while the expected control set is too small.

        Without this, a slow fleet would shrink it.  Endpoints of other zones are skipped at random, more often the
        higher the price of a cross-zone request is.
        """
        ready, random, settings = self.ready, self._context.random, self._context.settings
        for _ in range(MAX_REFILL_DRAWS):
            if self.expected_size >= min(MIN_EXPECTED_SET, len(ready) / 2):
                return
            endpoint = ready[int(random() * len(ready))]
            if (
                endpoint.entry.zone != settings.zone
                and random() * (1 + CROSS_ZONE_SKIP_FACTOR * settings.prices.cross_zone) > 1
            ):
                continue
            self._remove_from_bucket(endpoint)
            self._insert_into_bucket(endpoint, endpoint.inclusion_probability + REFILL_STEP)

    def draw(self) -> list[EndpointRecord]:
        """Draw a control set: include each ready endpoint independently with its inclusion probability.

        Within a bucket the gaps between candidates are drawn geometrically at the bucket's maximum probability, and
        each candidate is then accepted by its own, so that the cost depends on the size of the set, not of the fleet.
        """
        random = self._context.random
        drawn = [endpoint for endpoint in self.buckets[0] if random() < endpoint.inclusion_probability]
        for bucket, highest, log_miss in self._bucket_draws:
            if not bucket:
                continue
            size = len(bucket)
            i = int(log(1.0 - random()) / log_miss)
            while i < size:
                if random() * highest < bucket[i].inclusion_probability:
                    drawn.append(bucket[i])
                i += 1 + int(log(1.0 - random()) / log_miss)
        return drawn

    def _remove_from_bucket(self, endpoint: EndpointRecord) -> None:
        bucket = self.buckets[endpoint.bucket]
        last = bucket.pop()
        if last is not endpoint:
            bucket[endpoint.bucket_position] = last
            last.bucket_position = endpoint.bucket_position
        self._expected_size_units -= int(endpoint.inclusion_probability * UNITS_PER_ENDPOINT)

    def _insert_into_bucket(self, endpoint: EndpointRecord, probability: float) -> None:
        if probability < self._min_probability:
            probability = self._min_probability
        elif probability > MAX_PROBABILITY:
            probability = MAX_PROBABILITY
        endpoint.inclusion_probability = probability
        endpoint.bucket = min(BUCKETS - 1, -frexp(probability)[1])
        bucket = self.buckets[endpoint.bucket]
        endpoint.bucket_position = len(bucket)
        bucket.append(endpoint)
        self._expected_size_units += int(probability * UNITS_PER_ENDPOINT)
