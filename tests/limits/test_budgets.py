"""Tests of token buckets and the latency histogram."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.limits.budgets import NS_PER_SECOND, TokenBucket
from driftstair.limits.latency import HALVING_SAMPLES, LatencyHistogram

NS_PER_MS = 1_000_000


def test_a_bucket_starts_full_and_refills_over_time() -> None:
    bucket = TokenBucket(2.0, 3.0, 0)
    assert [bucket.take(0) for _ in range(4)] == [True, True, True, False]
    assert bucket.ns_until(0) == NS_PER_SECOND // 2 + 1
    assert not bucket.take(NS_PER_SECOND // 2 - NS_PER_MS)
    assert bucket.take(NS_PER_SECOND // 2 + NS_PER_MS)
    assert [bucket.take(100 * NS_PER_SECOND) for _ in range(4)] == [True, True, True, False]


def test_earned_tokens_never_exceed_the_burst() -> None:
    bucket = TokenBucket(0.0, 2.0, 0)
    for _ in range(100):
        bucket.earn(0, 0.5)
    assert bucket.tokens == 2.0 and bucket.ns_until(0) == 0
    bucket.take(0, 2.0)
    assert bucket.ns_until(0) == 0  # refilling never provides it
    bucket.earn(0, 0.5)
    assert not bucket.take(0)


def test_a_clock_that_jumps_back_adds_no_tokens_and_refilling_continues() -> None:
    bucket = TokenBucket(1.0, 5.0, 100 * NS_PER_SECOND)
    bucket.take(100 * NS_PER_SECOND, 5.0)
    assert not bucket.take(10 * NS_PER_SECOND)
    assert bucket.take(11 * NS_PER_SECOND + NS_PER_MS)
    bucket.take(11 * NS_PER_SECOND + NS_PER_MS, bucket.tokens)
    assert bucket.has(10**18, 5.0) and not bucket.has(10**18, 5.1)  # a jump ahead fills the bucket at most


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.floats(0, 50), st.floats(1, 20),
    st.lists(st.tuples(st.integers(-NS_PER_SECOND, NS_PER_SECOND), st.booleans()), max_size=200),
)  # fmt: skip
def test_no_more_tokens_are_taken_than_were_held_and_earned(
    per_s: float, burst: float, steps: list[tuple[int, bool]]
) -> None:
    now = forward = taken = 0
    bucket = TokenBucket(per_s, burst, 0)
    for step, take in steps:
        now += step
        forward += max(0, step)
        taken += take and bucket.take(now)
        assert 0.0 <= bucket.tokens <= burst
    assert taken <= burst + per_s * forward / NS_PER_SECOND + 1e-6


def test_a_reload_grants_no_new_burst() -> None:
    old, new = TokenBucket(0.0, 10.0, 0), TokenBucket(0.0, 4.0, 0)
    old.take(0, 9.0)
    new.carry_over(old, 0)
    assert new.tokens == 1.0
    full = TokenBucket(0.0, 4.0, 0)
    full.carry_over(TokenBucket(0.0, 10.0, 0), 0)
    assert full.tokens == 4.0


def test_a_percentile_is_accurate_and_needs_a_minimum_of_samples() -> None:
    random = Random(1)
    latencies = LatencyHistogram()
    values = sorted(int(random.lognormvariate(18, 0.5)) for _ in range(1500))
    for value in values[:49]:
        latencies.add(value)
    assert latencies.percentile(0.9) == 0
    for value in values[49:]:
        latencies.add(value)
    for fraction in (0.5, 0.9, 0.99):
        exact = values[int(fraction * len(values))]
        assert 0.95 * exact <= latencies.percentile(fraction) <= 1.1 * exact


def test_old_latencies_decay() -> None:
    latencies = LatencyHistogram()
    for _ in range(HALVING_SAMPLES):
        latencies.add(10 * NS_PER_MS)
    for _ in range(4 * HALVING_SAMPLES):
        latencies.add(500 * NS_PER_MS)
    assert latencies.percentile(0.5) > 400 * NS_PER_MS
    latencies.add(10**15)  # beyond the last bucket
    latencies.add(0)
