package org.magnolialead.engine.owner;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Profile;
import org.magnolialead.api.command.RequestRecord;
import org.magnolialead.engine.owner.ConfirmationTracker.Pending;
import org.magnolialead.engine.owner.ConfirmationTracker.State;
import org.magnolialead.engine.owner.IdempotencyDecision.LocalRecord;
import org.magnolialead.engine.owner.IdempotencyDecision.LocalState;

class OwnerTablesTests {

	private static final long MILLISECOND = 1_000_000L;

	private static LogPosition position(long term, long index) {
		return new LogPosition(term, index);
	}

	@Nested
	class Confirmations {

		private final ConfirmationTracker<String> tracker = new ConfirmationTracker<>();

		private List<String> workOf(List<Pending<String>> pending) {
			return pending.stream().map(Pending::work).toList();
		}

		// Guards against acknowledging a write that a failover may lose.
		@Test
		void waitForMajorityOfTheSameTerm() {
			this.tracker.members(List.of("a", "b", "c"));
			this.tracker.register(position(2, 5), 100, "a", "five");
			this.tracker.register(position(2, 6), 50, "a", "six");
			Expect.equal(List.of(), this.tracker.positionReported("a", position(2, 6)));
			Expect.equal(List.of(), this.tracker.positionReported("b", position(1, 99)));
			Expect.equal(List.of(), this.tracker.positionReported("unknown", position(2, 6)));
			Expect.equal(Optional.of(position(2, 5)), this.tracker.lowestPending());
			Expect.equal(List.of("five"), workOf(this.tracker.positionReported("b", position(2, 5))));
			Expect.equal(List.of("six"), workOf(this.tracker.removeExpired(50)));
			Expect.equal(State.CONFIRMED, this.tracker.register(position(2, 4), 100, "a", "late").state());
		}

		// Guards against acknowledging a write of a replaced primary.
		@Test
		void endWithTheSealOfTheTerm() {
			this.tracker.members(List.of("a", "b", "c"));
			this.tracker.register(position(2, 5), 100, "a", "old");
			Expect.equal(List.of("old"), workOf(this.tracker.sealTerm(2)));
			Expect.equal(List.of(), this.tracker.positionReported("b", position(2, 5)));
			Expect.equal(State.TERM_SEALED, this.tracker.register(position(2, 5), 100, "a", "late").state());
			Expect.equal(State.WAITING, this.tracker.register(position(3, 1), 100, "b", "new").state());
		}

	}

	@Nested
	class Idempotency {

		private IdempotencyDecision decide(boolean finished, boolean newlyBegun, long epoch, LocalState local) {
			RequestRecord stored = new RequestRecord("key", "digest", epoch, 3, finished, new byte[] { 1 }, 0,
					newlyBegun);
			return IdempotencyDecision.onRecord(stored, new LocalRecord(local, "digest"), "digest", 7, 3);
		}

		// Guards against executing a non-repeatable request twice.
		@Test
		void runsOnlyWhatWasCertainlyNeverSent() {
			Expect.instance(IdempotencyDecision.Execute.class, decide(false, true, 7, LocalState.ABSENT));
			Expect.instance(IdempotencyDecision.Execute.class, decide(false, false, 7, LocalState.BEGINNING));
			Expect.instance(IdempotencyDecision.AwaitOutcome.class, decide(false, false, 7, LocalState.SENT));
			Expect.instance(IdempotencyDecision.Unknown.class, decide(false, false, 7, LocalState.ABSENT));
			Expect.instance(IdempotencyDecision.Unknown.class, decide(false, false, 6, LocalState.BEGINNING));
			Expect.instance(IdempotencyDecision.Replay.class, decide(true, false, 6, LocalState.ABSENT));
			RequestRecord other = new RequestRecord("key", "digest", 7, 4, false, null, 0, false);
			Expect.instance(IdempotencyDecision.Unknown.class, IdempotencyDecision.onRecord(other,
					new LocalRecord(LocalState.BEGINNING, "digest"), "digest", 7, 3));
		}

		// Guards against returning the stored answer of a different request.
		@Test
		void refusesReusedKeys() {
			LocalRecord local = new LocalRecord(LocalState.SENT, "digest");
			Expect.instance(IdempotencyDecision.AwaitOutcome.class, IdempotencyDecision.onArrival(local, "digest"));
			Expect.instance(IdempotencyDecision.KeyReused.class, IdempotencyDecision.onArrival(local, "other"));
			Expect.instance(IdempotencyDecision.Execute.class,
					IdempotencyDecision.onArrival(LocalRecord.ABSENT, "other"));
		}

	}

	@Nested
	class Reads {

		private final Profile browsing = FleetConfiguration.initial().profiles().get("browsing");

		private final MemberPositions positions = new MemberPositions(ReadPolicy.FRESH_REPLICAS);

		private GroupView view = view(1, "primary", 1);

		private GroupView view(long term, String primary, long version) {
			return new GroupView("group", version, term, primary, term, "", "owner", 1,
					OwnerMeasurements.view().members());
		}

		private void status(String member, MemberRole role, long term, LogPosition position, long milliseconds) {
			this.positions.statusAnswered(new MemberStatus("group", member, role, term, position),
					milliseconds * MILLISECOND, milliseconds * MILLISECOND, this.view);
		}

		private List<String> eligible(LogPosition required, long milliseconds) {
			return this.positions.eligibleForRead(this.browsing, required, true, this.view, milliseconds * MILLISECOND,
					(member) -> Map.of("replica1", 2).getOrDefault(member, 1));
		}

		// Guards against stale reads from members that are behind the session, too old or
		// unresponsive.
		@Test
		void prefersFreshReplicasWithFewestStatements() {
			status("primary", MemberRole.PRIMARY, 1, position(1, 5), 0);
			status("primary", MemberRole.PRIMARY, 1, position(1, 9), 100);
			status("replica1", MemberRole.REPLICA, 1, position(1, 9), 100);
			status("replica2", MemberRole.REPLICA, 1, position(1, 7), 100);
			Expect.equal(List.of("replica2", "replica1", "primary"), eligible(position(1, 6), 150));
			Expect.equal(List.of("replica1", "primary"), eligible(position(1, 8), 150));
			Expect.equal(150 * MILLISECOND, this.positions.ageNanoseconds("replica2", 150 * MILLISECOND));
			Expect.equal(50 * MILLISECOND, this.positions.ageNanoseconds("replica1", 150 * MILLISECOND));
			Expect.equal(List.of(), eligible(LogPosition.NONE, 1_100));
			status("primary", MemberRole.PRIMARY, 1, position(1, 20), 5_200);
			status("replica2", MemberRole.REPLICA, 1, position(1, 8), 5_200);
			Expect.equal(List.of("primary"), eligible(LogPosition.NONE, 5_200));
			Expect.equal(List.of("primary"), this.positions.eligibleForRead(this.browsing, LogPosition.NONE, false,
					this.view, 5_200 * MILLISECOND, (member) -> 0));
		}

		// Guards against stale data that appears fresh because a new or a replaced
		// primary is sampled.
		@Test
		void agesGrowAcrossChangeOfPrimary() {
			status("primary", MemberRole.PRIMARY, 1, position(1, 9), 0);
			status("replica1", MemberRole.REPLICA, 1, position(1, 9), 0);
			this.view = view(2, "replica2", 2);
			status("primary", MemberRole.PRIMARY, 1, position(1, 12), 200);
			status("replica2", MemberRole.PRIMARY, 2, position(2, 10), 200);
			status("replica1", MemberRole.REPLICA, 1, position(1, 9), 200);
			Expect.equal(300 * MILLISECOND, this.positions.ageNanoseconds("replica1", 300 * MILLISECOND));
			Expect.equal(List.of("replica2"), eligible(LogPosition.NONE, 300));
			status("replica1", MemberRole.REPLICA, 2, position(1, 9), 300);
			Expect.equal(List.of("replica1", "replica2"), eligible(LogPosition.NONE, 300));
			status("replica1", MemberRole.REPLICA, 2, position(2, 10), 400);
			Expect.equal(200 * MILLISECOND, this.positions.ageNanoseconds("replica1", 400 * MILLISECOND));
		}

	}

}
