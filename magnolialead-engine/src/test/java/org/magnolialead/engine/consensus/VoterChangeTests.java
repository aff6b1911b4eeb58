package org.magnolialead.engine.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.message.ConsensusMessage.AppendAnswer;
import org.magnolialead.api.message.ConsensusMessage.AppendRequest;
import org.magnolialead.api.message.ConsensusMessage.JoinRequest;
import org.magnolialead.api.message.ConsensusMessage.VoteAnswer;
import org.magnolialead.api.message.ControlIdentity;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the number of voters of a cluster whose members join by themselves.
 */
class VoterChangeTests {

	private static final long ELECTION_TIMEOUT = 1_000;

	private static final long STEP = 50;

	/** Several times the time after which a voter that does not answer is removed. */
	private static final long OBSERVED_TIME = 60 * ELECTION_TIMEOUT;

	private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f", "g", "h");

	/**
	 * Guards against a cluster that loses so many voters to restarts that a later loss of
	 * disks, which it must tolerate, leaves no majority for good.
	 */
	@ParameterizedTest
	@CsvSource({ "3, 1, 1, 3", "4, 1, 1, 3", "5, 1, 2, 3", "5, 2, 2, 5", "6, 2, 2, 5", "8, 2, 3, 5", "8, 3, 3, 7" })
	void votersAreRemovedOnlyWhileTheToleratedLossesLeaveAMajority(int voters, int losses, int silent,
			int expectedVoters) {
		Set<String> answering = Set.copyOf(NAMES.subList(1, voters - silent));
		ConsensusNode leader = leader(voters, losses);
		run(leader, answering);
		assertThat(leader.isLeader()).isTrue();
		assertThat(leader.voters()).hasSize(expectedVoters);
	}

	/**
	 * Guards against a voter that forgets its votes and entries at its next start.
	 */
	@Test
	void memberWithoutADurableFolderIsNotPromoted() {
		ConsensusNode leader = leader(3, 1);
		ControlIdentity observer = new ControlIdentity("o", "1", "o", true);
		leader.receive(new JoinRequest(observer, "", 0, false), ELECTION_TIMEOUT);
		run(leader, Set.of("b", "c", "o"));
		assertThat(leader.voters()).extracting(ControlIdentity::name).containsExactly("a", "b", "c");
	}

	/**
	 * Guards against a learner that is never promoted, so that the cluster stays small.
	 */
	@Test
	void memberWithADurableFolderIsPromoted() {
		ConsensusNode leader = leader(3, 1);
		leader.receive(new JoinRequest(identity("d"), "", 0, false), ELECTION_TIMEOUT);
		run(leader, Set.of("b", "c", "d"));
		assertThat(leader.voters()).extracting(ControlIdentity::name).containsExactly("a", "b", "c", "d");
	}

	/**
	 * Guards against a seed of the first start, named by its address, that stays a voter
	 * after it has lost its disk and joined again under the name of its settings. The
	 * cluster is so small that voters are not removed for their silence alone.
	 */
	@Test
	void memberAtTheAddressOfASilentVoterReplacesIt() {
		ConsensusNode leader = leader(3, 2);
		ControlIdentity returned = new ControlIdentity("name of c", "2", "c");
		leader.receive(new JoinRequest(returned, "", 0, false), ELECTION_TIMEOUT);
		run(leader, Map.of("b", identity("b"), "c", returned));
		assertThat(leader.voters()).containsExactly(identity("a"), identity("b"), returned);
	}

	/**
	 * Guards against numbers of voters that lose committed changes, or the majority, with
	 * the losses that are tolerated.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void numbersOfVotersFollowFromTheLosses(int losses) {
		FaultTolerance tolerance = new FaultTolerance(losses);
		for (int voters = 1; voters < 20; voters++) {
			int majority = voters / 2 + 1;
			assertThat(voters >= tolerance.votersToElect()).isEqualTo(voters - losses >= majority);
			assertThat(voters >= tolerance.votersToCommit()).isEqualTo(majority > losses);
			assertThat(FaultTolerance.lossesTolerated(voters) >= losses).isEqualTo(voters - losses >= majority);
		}
	}

	private static ConsensusNode leader(int voters, int losses) {
		List<ControlIdentity> identities = NAMES.subList(0, voters).stream().map(VoterChangeTests::identity).toList();
		ConsensusSettings settings = ConsensusSettings.of(identity("a"), Map.of(), 100, 500, ELECTION_TIMEOUT,
				List.of("b"), LogBudget.of(1_000_000, 1_000_000), new FaultTolerance(losses));
		StoredState stored = new StoredState("cluster", new Vote(1, null),
				new ConsensusSnapshot(1, 1, identities, new byte[0]), 1, 1, List.of());
		ConsensusNode node = new ConsensusNode(settings, stored, 0, 0, new Random(1));
		node.tick(ELECTION_TIMEOUT);
		for (boolean preVote : new boolean[] { true, false }) {
			long term = preVote ? node.term() + 1 : node.term();
			NAMES.subList(1, voters / 2 + 1)
				.forEach((name) -> node.receive(
						new VoteAnswer(identity(name), "cluster", node.term(), term, preVote, true), ELECTION_TIMEOUT));
		}
		assertThat(node.isLeader()).isTrue();
		return node;
	}

	/**
	 * Runs a leader while some of the other members answer each of its messages.
	 * @param leader the leader
	 * @param answering names of the members that answer
	 */
	private static void run(ConsensusNode leader, Set<String> answering) {
		run(leader,
				answering.stream()
					.collect(Collectors.toMap(Function.identity(),
							(name) -> new ControlIdentity(name, "1", name, name.equals("o")))));
	}

	private static void run(ConsensusNode leader, Map<String, ControlIdentity> answering) {
		for (long now = ELECTION_TIMEOUT + STEP; now < OBSERVED_TIME; now += STEP) {
			List<ConsensusAction> actions = new ArrayList<>(leader.tick(now));
			while (!actions.isEmpty()) {
				List<ConsensusAction> next = new ArrayList<>();
				for (ConsensusAction action : actions) {
					if (action instanceof ConsensusAction.Send send && answering.containsKey(send.address())
							&& send.message() instanceof AppendRequest request) {
						next.addAll(leader.receive(answer(answering.get(send.address()), request, leader), now));
					}
				}
				next.addAll(leader.persisted(leader.lastIndex(), leader.lastTerm(), now));
				actions = next;
			}
		}
	}

	private static AppendAnswer answer(ControlIdentity from, AppendRequest request, ConsensusNode leader) {
		long matchIndex = request.previousIndex() + request.entries().size();
		return new AppendAnswer(from, "cluster", leader.term(), true, matchIndex, request.round());
	}

	private static ControlIdentity identity(String name) {
		return new ControlIdentity(name, "1", name);
	}

}
