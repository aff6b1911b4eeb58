package org.magnolialead.daemon.filter;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import org.magnolialead.api.Rank;

/**
 * Limits the number of requests in progress. Each rank has reserved permits, and all
 * ranks share the remaining ones. A lower rank may use only a part of the shared permits,
 * so lower ranks are rejected first, and a flood of one rank cannot block another.
 * Thread-safe.
 */
public final class AdmissionControl {

	/**
	 * Default maximum number of requests in progress. Their bodies occupy at most 128 MiB
	 * at the default body limit of 64 KiB, and about 2 MiB at the usual size of 1 KiB.
	 */
	public static final int DEFAULT_MAXIMUM_IN_PROGRESS = 2_048;

	/**
	 * Share of all permits that is reserved for each rank, in the order of {@link Rank}.
	 */
	private static final double[] RESERVED_SHARES = { 0.25, 0.10, 0.05 };

	/**
	 * Share of the shared permits up to which each rank may still acquire one, in the
	 * order of {@link Rank}.
	 */
	private static final double[] SHARED_LIMIT_SHARES = { 1.0, 0.8, 0.6 };

	private final AtomicReference<PermitCounts> used = new AtomicReference<>(new PermitCounts(0, 0, 0));

	private final int[] reserved = new int[Rank.values().length];

	private final int[] sharedLimits = new int[Rank.values().length];

	/**
	 * Creates an admission control.
	 * @param maximumInProgress maximum number of requests in progress, at least 20 so
	 * that each rank has a reserved permit
	 * @throws IllegalArgumentException if the number is less than 20
	 */
	public AdmissionControl(int maximumInProgress) {
		if (maximumInProgress < 20) {
			throw new IllegalArgumentException("maximumInProgress must be at least 20, found " + maximumInProgress);
		}
		int shared = maximumInProgress;
		for (Rank rank : Rank.values()) {
			this.reserved[rank.ordinal()] = (int) (maximumInProgress * RESERVED_SHARES[rank.ordinal()]);
			shared -= this.reserved[rank.ordinal()];
		}
		for (Rank rank : Rank.values()) {
			this.sharedLimits[rank.ordinal()] = (int) (shared * SHARED_LIMIT_SHARES[rank.ordinal()]);
		}
	}

	/**
	 * Acquires a permit if one is available.
	 * @param rank rank of the request
	 * @return {@code true} if the request is admitted; {@link #release} must then be
	 * called once
	 */
	public boolean tryAcquire(Rank rank) {
		Objects.requireNonNull(rank, "rank must not be null");
		while (true) {
			PermitCounts current = this.used.get();
			if (!hasPermit(current, rank)) {
				return false;
			}
			if (this.used.compareAndSet(current, current.plus(rank, 1))) {
				return true;
			}
		}
	}

	/**
	 * Releases a permit.
	 * @param rank rank of the request that acquired it
	 */
	public void release(Rank rank) {
		this.used.updateAndGet((current) -> current.plus(rank, -1));
	}

	/**
	 * Returns the number of requests in progress.
	 * @param rank rank of the requests
	 * @return the number of requests of this rank
	 */
	public int inProgress(Rank rank) {
		return this.used.get().count(rank);
	}

	private boolean hasPermit(PermitCounts current, Rank rank) {
		if (current.count(rank) < this.reserved[rank.ordinal()]) {
			return true;
		}
		int sharedUsed = 0;
		for (Rank each : Rank.values()) {
			sharedUsed += Math.max(0, current.count(each) - this.reserved[each.ordinal()]);
		}
		return sharedUsed < this.sharedLimits[rank.ordinal()];
	}

	private record PermitCounts(int urgent, int standard, int browsing) {

		int count(Rank rank) {
			return switch (rank) {
				case URGENT -> this.urgent;
				case STANDARD -> this.standard;
				case BROWSING -> this.browsing;
			};
		}

		PermitCounts plus(Rank rank, int change) {
			return switch (rank) {
				case URGENT -> new PermitCounts(this.urgent + change, this.standard, this.browsing);
				case STANDARD -> new PermitCounts(this.urgent, this.standard + change, this.browsing);
				case BROWSING -> new PermitCounts(this.urgent, this.standard, this.browsing + change);
			};
		}

	}

}
