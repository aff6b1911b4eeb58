package org.magnolialead.engine.consensus;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Randomised tests of {@link ConsensusNode}. A failure prints the seed that repeats it.
 */
class ConsensusNodeTests {

	/** Raised on the command line for longer runs. */
	private static final int SEEDS_PER_SIZE = Integer.getInteger("magnolialead.seeds", 50);

	private static final int FAULT_SEEDS = 400;

	private static final int SECONDS = 30;

	/**
	 * Guards against two leaders of one term, lost or changed commands, overlapping
	 * authority and a cluster that does not recover.
	 * @param size number of members
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 5 })
	void keepsGuaranteesUnderRandomFailures(int size) {
		int elections = 0;
		int diskLosses = 0;
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			ConsensusSimulation simulation = new ConsensusSimulation(seed, size, ConsensusSimulation.Fault.NONE);
			simulation.run(SECONDS);
			elections += simulation.elections();
			diskLosses += simulation.diskLosses();
		}
		System.out.printf("%d members, seeds 1 to %d: %d elections, %d lost disks%n", size, SEEDS_PER_SIZE, elections,
				diskLosses);
		ConsensusSimulation.require(size == 1 || diskLosses > SEEDS_PER_SIZE, "too few disks were lost");
	}

	/**
	 * Guards against a check that would not notice that members answer before they sync.
	 */
	@Test
	void checksDetectAnswersBeforeSync() {
		requireDetected(ConsensusSimulation.Fault.ANSWERS_BEFORE_SYNC);
	}

	/**
	 * Guards against a check that would not notice that a restarted member breaks the
	 * promise it gave to a leader.
	 */
	@Test
	void checksDetectVotesAfterRestart() {
		requireDetected(ConsensusSimulation.Fault.VOTES_AFTER_RESTART);
	}

	private static void requireDetected(ConsensusSimulation.Fault fault) {
		for (long seed = 1; seed <= FAULT_SEEDS; seed++) {
			try {
				new ConsensusSimulation(seed, 3, fault).runWithoutRecovery(SECONDS);
			}
			catch (AssertionError ex) {
				System.out.printf("%s is detected: %s%n", fault, ex.getMessage());
				return;
			}
		}
		throw new AssertionError("no seed up to %d detects %s".formatted(FAULT_SEEDS, fault));
	}

}
