package org.magnolialead.daemon.entry;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RetryDelay} in simulated time.
 */
class RetryDelayTests {

	private static final long SEEDS = 1_000;

	private static final long LEASE_MILLISECONDS = 2_500;

	private static final long ANSWER_TIMEOUT_MILLISECONDS = 350;

	/** Maximum election timeout plus one repeated election, in milliseconds. */
	private static final long ELECTION_MILLISECONDS = 1_500;

	/**
	 * Guards against a fleet that overloads recovering control daemons, and against
	 * daemons that all send their requests at the same time.
	 */
	@Test
	void requestRateIsLimitedAndTimesDiffer() {
		Set<Long> fifthRequestTimes = new HashSet<>();
		for (long seed = 1; seed <= SEEDS; seed++) {
			Random random = new Random(seed);
			long time = 0;
			int requests = 0;
			while (time < 10_000) {
				time += RetryDelay.milliseconds(requests++, RetryDelay.MAXIMUM_MILLISECONDS, random);
				if (requests == 5) {
					fifthRequestTimes.add(time);
				}
			}
			assertThat(requests).as("requests in 10 s without a leader, seed " + seed).isLessThan(85);
		}
		assertThat(fifthRequestTimes).as("different times of the fifth request").hasSizeGreaterThan(100);
	}

	/**
	 * Guards against a daemon whose lease expires although a new leader was elected. The
	 * former leader does not answer, and each round of retries includes it.
	 */
	@Test
	void daemonFindsNewLeaderBeforeItsLeaseExpires() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			Random random = new Random(seed);
			long time = ANSWER_TIMEOUT_MILLISECONDS;
			int failures = 0;
			boolean found = false;
			while (!found) {
				time += RetryDelay.milliseconds(failures, RetryDelay.MAXIMUM_MILLISECONDS, random);
				boolean silent = failures % 3 == 2;
				found = !silent && time >= ELECTION_MILLISECONDS;
				time += silent ? ANSWER_TIMEOUT_MILLISECONDS : 0;
				failures++;
			}
			assertThat(time).as("time in ms until the lease is renewed, seed " + seed)
				.isLessThan(LEASE_MILLISECONDS - ANSWER_TIMEOUT_MILLISECONDS);
		}
	}

}
