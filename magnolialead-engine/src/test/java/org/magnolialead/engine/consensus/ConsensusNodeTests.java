package org.magnolialead.engine.consensus;

import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.message.ConsensusMessage.AppendRequest;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * Randomized tests of {@link ConsensusNode}. A failure reports the seed that reproduces
 * it.
 */
class ConsensusNodeTests {

	/** Set to a higher number on the command line for longer runs. */
	private static final int SEEDS_PER_SIZE = Integer.getInteger("magnolialead.seeds", 50);

	private static final int FAULT_SEEDS = 400;

	private static final int SIMULATED_SECONDS = 30;

	/**
	 * Guards against two leaders in one term, lost or changed commands, two leaders with
	 * authority at the same time, and a cluster that does not recover.
	 * @param size number of members
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 5 })
	void keepsGuaranteesUnderRandomFailures(int size) {
		int elections = 0;
		int diskLosses = 0;
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			ConsensusSimulation simulation = new ConsensusSimulation(seed, size, ConsensusSimulation.Fault.NONE);
			simulation.run(SIMULATED_SECONDS);
			elections += simulation.elections();
			diskLosses += simulation.diskLosses();
		}
		System.out.printf("%d members, seeds 1 to %d: %d elections, %d lost disks%n", size, SEEDS_PER_SIZE, elections,
				diskLosses);
		ConsensusSimulation.require(size == 1 || diskLosses > SEEDS_PER_SIZE, "too few disks were lost");
	}

	/**
	 * Guards against the same failures if members join through seeds, and against a
	 * member that never joins, joins twice, or does not rejoin after its removal.
	 * @param size number of members
	 */
	@ParameterizedTest
	@ValueSource(ints = { 3, 4 })
	void keepsGuaranteesWithOpenMembership(int size) {
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			new ConsensusSimulation(seed, size, ConsensusSimulation.Fault.NONE).withOpenMembership()
				.run(SIMULATED_SECONDS);
		}
	}

	/**
	 * Guards against the same failures if the seeds start the cluster together, and
	 * against a second cluster.
	 * @param size number of members
	 */
	@ParameterizedTest
	@ValueSource(ints = { 3, 4, 5 })
	void keepsGuaranteesAfterAFirstStart(int size) {
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			new ConsensusSimulation(seed, size, ConsensusSimulation.Fault.NONE).withFirstStart().run(SIMULATED_SECONDS);
		}
	}

	/**
	 * Guards against a fleet that never forms a cluster, or forms two, because one
	 * machine is lost for good or cut off during its first start. Nothing was served when
	 * the first seed was lost 0.3 s after the start.
	 * @param size number of members
	 */
	@ParameterizedTest
	@ValueSource(ints = { 3, 4, 5 })
	void firstStartSurvivesTheLossOfAnyMember(int size) {
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			for (int member = 0; member < size; member++) {
				long maximumDelay = (seed % 2 == 0) ? 400_000_000 : 3_000_000_000L;
				new ConsensusSimulation(seed, size, ConsensusSimulation.Fault.NONE).withFirstStart()
					.runFirstStartWithLoss(member, maximumDelay, seed % 3 == 0);
			}
		}
	}

	/**
	 * Guards against the same failures if two members lose their disks at once, and
	 * against voters that are removed until such a loss leaves no majority for good.
	 * @param size number of members
	 */
	@ParameterizedTest
	@ValueSource(ints = { 5, 6, 8 })
	void keepsGuaranteesWhileTwoDisksAreLostAtOnce(int size) {
		int diskLosses = 0;
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			ConsensusSimulation simulation = new ConsensusSimulation(seed, size, ConsensusSimulation.Fault.NONE)
				.withOpenMembership()
				.withFaultTolerance(new FaultTolerance(2));
			simulation.run(SIMULATED_SECONDS);
			diskLosses += simulation.diskLosses();
		}
		System.out.printf("%d members, seeds 1 to %d: %d disks lost in pairs%n", size, SEEDS_PER_SIZE, diskLosses);
		ConsensusSimulation.require(diskLosses > SEEDS_PER_SIZE, "too few disks were lost");
	}

	/**
	 * Guards against logs that grow without a limit when no snapshot is taken in time,
	 * and against a full log from which a cluster never recovers.
	 */
	@Test
	void keepsGuaranteesWithinItsLogBudget() {
		long refusedCommands = 0;
		for (long seed = 1; seed <= SEEDS_PER_SIZE; seed++) {
			ConsensusSimulation simulation = new ConsensusSimulation(seed, 3, ConsensusSimulation.Fault.NONE)
				.withLogBudget(new LogBudget(96, 32, 160));
			simulation.run(SIMULATED_SECONDS);
			refusedCommands += simulation.refusedCommands();
		}
		ConsensusSimulation.require(refusedCommands > 0, "no log was full");
	}

	/**
	 * Guards against a majority that permanently includes a voter whose VM was replaced
	 * at another address.
	 */
	@Test
	void removesUnresponsiveVoter() {
		ConsensusSimulation simulation = new ConsensusSimulation(1, 4, ConsensusSimulation.Fault.NONE)
			.withOpenMembership();
		ConsensusSimulation.require(simulation.votersAfterLossOf("m3").size() == 3,
				"the unresponsive voter is removed while three others vote");
		ConsensusSimulation.require(simulation.votersAfterLossOf("m2").size() == 3,
				"three voters stay, so that a majority tolerates a failure once the third is back");
	}

	/**
	 * Guards against a simulation that does not detect answers sent before the entries
	 * are synced.
	 */
	@Test
	void checksDetectAnswersBeforeSync() {
		requireDetected(ConsensusSimulation.Fault.ANSWERS_BEFORE_SYNC);
	}

	/**
	 * Guards against a simulation that does not detect votes of a restarted member that
	 * should still refuse them because of its contact with a leader.
	 */
	@Test
	void checksDetectVotesAfterRestart() {
		requireDetected(ConsensusSimulation.Fault.VOTES_AFTER_RESTART);
	}

	/**
	 * Guards against mixing the logs of two clusters.
	 */
	@Test
	void ignoresMessagesOfAnotherCluster() {
		ConsensusNode node = member();
		ConsensusSimulation.require(node.receive(heartbeat("b", "other", 9), 0).isEmpty(), "no answer is sent");
		ConsensusSimulation.require(node.term() == 1, "the term is kept");
	}

	/**
	 * Guards against accepting a second leader in one term.
	 */
	@Test
	void rejectsSecondLeaderOfTerm() {
		ConsensusNode node = member();
		node.receive(heartbeat("b", "cluster", 2), 0);
		try {
			node.receive(heartbeat("c", "cluster", 2), 1);
		}
		catch (MagnolialeadException ex) {
			ConsensusSimulation.require(ex.code() == ErrorCode.INVARIANT_VIOLATED, "code is " + ex.code());
			return;
		}
		throw new AssertionError("the second leader was accepted");
	}

	/**
	 * Guards against an answer to a leader that is sent before the entries are synced.
	 */
	@Test
	void answersAfterSync() {
		ConsensusNode node = member();
		LogEntry entry = new LogEntry(2, 2, LogEntry.Kind.EMPTY, new byte[0], List.of());
		List<ConsensusAction> before = node
			.receive(new AppendRequest(identity("b"), "cluster", 2, 1, 1, List.of(entry), 2, 1), 0);
		ConsensusSimulation.require(before.stream().noneMatch(ConsensusNodeTests::isAnswer), "answered " + before);
		ConsensusSimulation.require(node.persisted(2, 1, 0).isEmpty(), "an entry of another term is not synced");
		List<ConsensusAction> after = node.persisted(2, 2, 0);
		ConsensusSimulation.require(after.stream().anyMatch(ConsensusNodeTests::isAnswer), "not answered " + after);
		ConsensusSimulation.require(node.commitIndex() == 2, "commit index is " + node.commitIndex());
	}

	private static boolean isAnswer(ConsensusAction action) {
		return action instanceof ConsensusAction.Send;
	}

	private static ConsensusNode member() {
		ConsensusSettings settings = ConsensusSettings.of(identity("a"), Map.of("a", "a", "b", "b", "c", "c"), 100, 500,
				1_000, List.of());
		StoredState stored = StoredState.bootstrap("cluster", identity("a"), new byte[0]);
		return new ConsensusNode(settings, stored, 0, 0, new Random(1));
	}

	private static ControlIdentity identity(String name) {
		return new ControlIdentity(name, "1", name);
	}

	private static AppendRequest heartbeat(String leader, String cluster, long term) {
		return new AppendRequest(identity(leader), cluster, term, 1, 1, List.of(), 1, 1);
	}

	private static void requireDetected(ConsensusSimulation.Fault fault) {
		for (long seed = 1; seed <= FAULT_SEEDS; seed++) {
			try {
				new ConsensusSimulation(seed, 3, fault).runWithoutRecovery(SIMULATED_SECONDS);
			}
			catch (AssertionError ex) {
				System.out.printf("%s is detected: %s%n", fault, ex.getMessage());
				return;
			}
		}
		throw new AssertionError("no seed up to %d detects %s".formatted(FAULT_SEEDS, fault));
	}

}
