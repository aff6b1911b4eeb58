package org.magnolialead.engine.owner;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Token bucket that limits retries to a share of the requests, so that retries cannot
 * multiply an overload. Thread-safe and lock-free.
 */
public final class RetryBudget {

	/** Tokens that each request adds, in thousandths of a retry. */
	public static final long THOUSANDTHS_PER_REQUEST = 100;

	/** Retries per second that are permitted regardless of the number of requests. */
	public static final long MINIMUM_RETRIES_PER_SECOND = 1;

	/** Maximum number of retries that the bucket holds. */
	public static final long MAXIMUM_SAVED_RETRIES = 100;

	private static final long THOUSANDTHS_PER_RETRY = 1_000;

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private static final long NANOSECONDS_PER_THOUSANDTH = NANOSECONDS_PER_SECOND
			/ (MINIMUM_RETRIES_PER_SECOND * THOUSANDTHS_PER_RETRY);

	// A single reference holds both values. With two separate atomics a retry could be
	// refused between the update of the time and that of the tokens.
	private final AtomicReference<Bucket> bucket;

	/**
	 * Creates a budget that holds one retry.
	 * @param now present time in nanoseconds of the monotonic clock
	 */
	public RetryBudget(long now) {
		this.bucket = new AtomicReference<>(new Bucket(THOUSANDTHS_PER_RETRY, now));
	}

	/**
	 * Counts a first attempt of a request.
	 * @param now present time in nanoseconds of the monotonic clock
	 */
	public void requestStarted(long now) {
		this.bucket.updateAndGet((present) -> present.refilled(now).plus(THOUSANDTHS_PER_REQUEST));
	}

	/**
	 * Takes one retry if the budget permits it.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return {@code true} if the request may be tried again
	 */
	public boolean tryRetry(long now) {
		while (true) {
			Bucket present = this.bucket.get();
			Bucket refilled = present.refilled(now);
			if (refilled.thousandths() < THOUSANDTHS_PER_RETRY) {
				return false;
			}
			if (this.bucket.compareAndSet(present, refilled.plus(-THOUSANDTHS_PER_RETRY))) {
				return true;
			}
		}
	}

	private record Bucket(long thousandths, long refilledAt) {

		Bucket refilled(long now) {
			long earned = (now - this.refilledAt) / NANOSECONDS_PER_THOUSANDTH;
			if (earned <= 0) {
				return this;
			}
			return new Bucket(this.thousandths, this.refilledAt + earned * NANOSECONDS_PER_THOUSANDTH).plus(earned);
		}

		Bucket plus(long change) {
			long limit = MAXIMUM_SAVED_RETRIES * THOUSANDTHS_PER_RETRY;
			return new Bucket(Math.min(limit, this.thousandths + change), this.refilledAt);
		}

	}

}
