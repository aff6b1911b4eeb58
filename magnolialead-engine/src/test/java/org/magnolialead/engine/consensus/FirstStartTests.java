package org.magnolialead.engine.consensus;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.message.ConsensusMessage.JoinRequest;
import org.magnolialead.api.message.ControlIdentity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link FirstStart}.
 */
class FirstStartTests {

	private static final byte[] DATA = { 7 };

	private static FirstStart seed(String address) {
		return new FirstStart(List.of("a:1", "b:1", "c:1"), address);
	}

	private static JoinRequest joinRequest(String address, boolean observer) {
		return new JoinRequest(new ControlIdentity("name of " + address, "random", address, observer), "", 0, false);
	}

	/**
	 * Guards against two clusters: every seed must start the same one with the same
	 * voters, whichever other seed it has heard of and in whichever order it was told the
	 * seeds.
	 */
	@Test
	void allSeedsStartTheSameClusterWithTheSameVoters() {
		FirstStart first = seed("a:1");
		first.received(joinRequest("b:1", false));
		FirstStart second = new FirstStart(List.of("c:1", "b:1", "a:1"), "b:1");
		second.received(joinRequest("a:1", true));
		second.received(joinRequest("c:1", false));
		StoredState state = first.initialState(DATA).orElseThrow();
		StoredState other = second.initialState(DATA).orElseThrow();
		assertThat(state.cluster()).isEqualTo(other.cluster());
		assertThat(state.snapshot().voters()).isEqualTo(other.snapshot().voters())
			.extracting(ControlIdentity::address)
			.containsExactly("a:1", "b:1", "c:1");
		assertThat(state.vote()).isEqualTo(new Vote(1, null));
	}

	/**
	 * Guards against a seed that starts a cluster alone while the others may start one.
	 */
	@Test
	void seedWaitsUntilItKnowsWhetherAnotherOneVotes() {
		FirstStart seed = seed("a:1");
		assertThat(seed.initialState(DATA)).isEmpty();
		seed.received(joinRequest("b:1", true));
		seed.received(joinRequest("a:1", false));
		seed.received(joinRequest("d:1", false));
		assertThat(seed.initialState(DATA)).isEmpty();
	}

	/**
	 * Guards against a fleet that never starts because only one of its seeds has a disk.
	 */
	@Test
	void onlySeedThatVotesStartsTheClusterAlone() {
		FirstStart seed = seed("b:1");
		seed.received(joinRequest("a:1", true));
		seed.received(joinRequest("c:1", true));
		assertThat(seed.initialState(DATA).orElseThrow().snapshot().voters()).extracting(ControlIdentity::address)
			.containsExactly("b:1");
		assertThat(new FirstStart(List.of("b:1"), "b:1").initialState(DATA)).isPresent();
	}

	/**
	 * Guards against a member that counts as another one after it has moved to the
	 * address of a second seed.
	 */
	@Test
	void identityIsThatOfTheFirstStart() {
		String incarnation = FirstStart.incarnation("a:1");
		assertThat(FirstStart.identity("name", incarnation, "b:1"))
			.isEqualTo(new ControlIdentity("a:1", incarnation, "b:1"));
		assertThat(FirstStart.identity("name", "random", "a:1"))
			.isEqualTo(new ControlIdentity("name", "random", "a:1"));
	}

	@Test
	void memberThatIsNoSeedIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> seed("d:1"));
	}

}
