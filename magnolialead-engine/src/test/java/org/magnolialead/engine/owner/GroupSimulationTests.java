package org.magnolialead.engine.owner;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GroupSimulationTests {

	private static final int RUNS = 12;

	// Guards against lost acknowledged writes, two primaries in one term, sessions that
	// do not see their own writes, and groups that never recover.
	@ParameterizedTest
	@ValueSource(longs = { 100, 200, 300, 400, 500, 600, 700, 800 })
	void invariantsHoldUnderFaults(long firstSeed) {
		long terms = 0;
		for (long seed = firstSeed; seed < firstSeed + RUNS; seed++) {
			GroupSimulation simulation = new GroupSimulation(seed, QuorumRule.MAJORITY, false);
			simulation.run(40);
			System.out.printf("seed %d: %d writes acknowledged, %d reads, %d by replicas, term %d%n", seed,
					simulation.acknowledgedWrites(), simulation.reads(), simulation.replicaReads(), simulation.terms());
			Expect.that(simulation.acknowledgedWrites() > 200, "too few writes: " + simulation.acknowledgedWrites());
			Expect.that(simulation.replicaReads() > 200, "too few replica reads: " + simulation.replicaReads());
			terms += simulation.terms();
		}
		// With some seeds the primary does not fail, so failovers are counted over all
		// seeds.
		Expect.that(terms > 2 * RUNS, "too few failovers took place: " + terms);
	}

	// Verifies that the simulation detects a promotion without a majority.
	@Test
	void promotionWithoutMajorityIsDetected() {
		expectDetected(60, (view) -> 1, false, "an acknowledged write was lost");
	}

	// Verifies that the simulation detects stale reads.
	@Test
	void ignoredSessionPositionsAreDetected() {
		expectDetected(10, QuorumRule.MAJORITY, true, "a session did not see its own write");
	}

	private static void expectDetected(int runs, QuorumRule quorum, boolean ignoreSessions, String message) {
		long detected = LongStream.range(100, 100 + runs).filter((seed) -> {
			System.out.println("seed " + seed);
			try {
				new GroupSimulation(seed, quorum, ignoreSessions).run(40);
				return false;
			}
			catch (AssertionError ex) {
				return ex.getMessage().startsWith(message);
			}
		}).count();
		System.out.println("detected in " + detected + " of " + runs + " runs");
		Expect.that(detected > 0, "the fault was not detected");
	}

}
