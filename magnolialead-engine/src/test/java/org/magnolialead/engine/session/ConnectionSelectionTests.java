package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the selection of connections. The load of many accounts is simulated by
 * {@link AccountAffinityTests}.
 */
class ConnectionSelectionTests {

	private static final ConnectionLimits LIMITS = new ConnectionLimits(3, 3, true);

	private static final ConnectionLimits WITHOUT_ACCOUNTS = new ConnectionLimits(1, 3, false);

	private static Connection free(String account, long releasedAt) {
		return new Connection(account, true, releasedAt, 0, false);
	}

	private static Connection used(String account) {
		return new Connection(account, false, 0, 0, false);
	}

	private static Replica replica(String name, long expected) {
		return new Replica(name, false, expected, true, true, DialProgress.NONE);
	}

	/**
	 * Guards against a statement on a connection that was opened for another account.
	 */
	@Test
	void requestUsesOnlyConnectionsOfItsAccount() {
		Connection costly = new Connection("a", true, 0, 2, false);
		Connection cheap = new Connection("a", true, 0, 1, false);
		List<Connection> connections = List.of(free("b", 0), costly, free("", 0), cheap, used("a"));
		assertThat(ConnectionSelection.toUse(connections, "a", Map.of())).contains(cheap);
		assertThat(ConnectionSelection.toUse(connections, "c", Map.of())).isEmpty();
		assertThat(ConnectionSelection.forInternalCommand(List.of(free("b", 0)))).isPresent();
	}

	@Test
	void leastRecentlyUsedConnectionOfAnotherAccountIsEvicted() {
		Connection oldest = free("b", Long.MAX_VALUE);
		Connection newer = free("c", Long.MIN_VALUE);
		DialDecision<Connection> decision = ConnectionSelection.toDial(List.of(newer, oldest, used("a")), List.of(),
				"a", 0, LIMITS);
		assertThat(decision.evicted()).containsExactly(oldest);
		assertThat(decision.purpose()).isEqualTo(ConnectionPurpose.HELD);
	}

	@Test
	void nothingIsEvictedBelowTheMaximum() {
		DialDecision<Connection> decision = ConnectionSelection.toDial(List.of(free("b", 0)), List.of("c"), "a", 0,
				LIMITS);
		assertThat(decision.dials()).isTrue();
		assertThat(decision.evicted()).isEmpty();
	}

	/**
	 * Guards against more connections than the maximum, open or being opened.
	 */
	@Test
	void attemptsCountAsConnections() {
		assertThat(ConnectionSelection.toDial(List.of(used("b"), used("c")), List.of("d"), "a", 0, LIMITS).dials())
			.isFalse();
		List<Connection> connections = new ArrayList<>(List.of(free("b", 1), free("c", 2), free("d", 3)));
		assertThat(ConnectionSelection.toDial(connections, List.of("e"), "a", 0, LIMITS).evicted()).hasSize(2);
		connections.set(1, used("c"));
		connections.set(2, used("d"));
		assertThat(ConnectionSelection.toDial(connections, List.of("e"), "a", 0, LIMITS).dials()).isFalse();
	}

	/**
	 * Guards against accounts that close each other's connections although their own ones
	 * become free at the same time, and against one that waits for a connection which a
	 * long transaction occupies.
	 */
	@Test
	void requestWaitsForAConnectionOfItsAccountThatIsFreeSoon() {
		Connection freeSoon = new Connection("a", false, 0, 0, true);
		List<Connection> connections = List.of(freeSoon, free("b", 0), used("c"));
		assertThat(ConnectionSelection.toDial(connections, List.of(), "a", 0, LIMITS).dials()).isFalse();
		assertThat(ConnectionSelection.toDial(connections, List.of(), "a", 1, LIMITS).dials()).isTrue();
		assertThat(ConnectionSelection.toDial(connections, List.of(), "c", 0, LIMITS).dials()).isTrue();
	}

	@Test
	void oneAttemptIsMadeForEachAccount() {
		assertThat(ConnectionSelection.toDial(List.of(), List.of("a"), "a", 0, LIMITS).dials()).isFalse();
		assertThat(ConnectionSelection.toDial(List.of(), List.of("a"), "b", 0, LIMITS).dials()).isTrue();
	}

	@Test
	void withoutAccountsOneAdditionalConnectionIsOpenedAtATime() {
		assertThat(ConnectionSelection.toDial(List.of(), List.of(), "", 0, WITHOUT_ACCOUNTS).purpose())
			.isEqualTo(ConnectionPurpose.FIRST);
		assertThat(ConnectionSelection.toDial(List.of(used("")), List.of(), "", 0, WITHOUT_ACCOUNTS).purpose())
			.isEqualTo(ConnectionPurpose.ADDITIONAL);
		assertThat(ConnectionSelection.toDial(List.of(used("")), List.of(""), "", 0, WITHOUT_ACCOUNTS).dials())
			.isFalse();
		assertThat(
				ConnectionSelection.toDial(List.of(free("", 0), used(""), used("")), List.of(), "", 0, WITHOUT_ACCOUNTS)
					.dials())
			.isFalse();
	}

	@Test
	void readOpensAConnectionWhereItCompletesFirst() {
		Replica full = new Replica("full", false, 1, true, false, DialProgress.NONE);
		Replica failed = new Replica("failed", true, 2, true, true, DialProgress.NONE);
		Replica delayed = new Replica("delayed", false, 3, false, true, DialProgress.NONE);
		Replica fast = replica("fast", 4);
		assertThat(ConnectionSelection.replicaToDial(List.of(replica("slow", 5), full, failed, delayed, fast), "a", 0))
			.contains(fast);
	}

	/**
	 * Guards against a read that opens a connection to each replica, and against one that
	 * waits for a replica that does not answer.
	 */
	@Test
	void readWaitsForAnAttemptUntilItIsLate() {
		Replica dialing = new Replica("dialing", false, 1, true, true, DialProgress.IN_TIME);
		Replica late = new Replica("late", false, 1, true, true, DialProgress.LATE);
		Replica other = replica("other", 2);
		assertThat(ConnectionSelection.replicaToDial(List.of(dialing, other), "a", 0)).isEmpty();
		assertThat(ConnectionSelection.replicaToDial(List.of(late, other), "a", 0)).contains(other);
		assertThat(ConnectionSelection.needsPrimary(List.of(late, dialing), "a")).isFalse();
		assertThat(ConnectionSelection.needsPrimary(List.of(late), "a")).isTrue();
		assertThat(ConnectionSelection.needsPrimary(List.of(), "a")).isTrue();
	}

	private record Connection(String account, boolean isFree, long releasedAt, int cost,
			boolean isFreeSoon) implements SelectableConnection {

		@Override
		public int alignmentCost(Map<String, String> sessionVariables) {
			return this.cost;
		}

	}

	private record Replica(String name, boolean isUnreachable, long expectedReadNanoseconds, boolean permits,
			boolean hasRoom, DialProgress progress) implements DialCandidate {

		@Override
		public boolean permitsDial(String account) {
			return this.permits;
		}

		@Override
		public boolean hasRoomFor(String account, int ahead) {
			return this.hasRoom;
		}

		@Override
		public DialProgress dialProgress(String account) {
			return this.progress;
		}

	}

}
