package org.magnolialead.engine.owner;

import java.util.Optional;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.LogPosition;

class SessionPositionsTests {

	/**
	 * Session names of the checked operations, created in advance because Lincheck also
	 * traces string concatenation.
	 */
	private static final String[] SESSIONS = { "", "session1", "session2", "session3" };

	private static final LogPosition[] POSITIONS = { LogPosition.NONE, position(1), position(2), position(3) };

	private static LogPosition position(long index) {
		return new LogPosition(1, index);
	}

	// Guards against replicas that serve a session whose writes this owner does not know.
	@Test
	void nothingIsKnownBeforeTheFloorIsSet() {
		SessionPositions positions = new SessionPositions(1);
		positions.recordWrite("a", position(1));
		positions.recordWrite("b", position(2));
		Expect.equal(Optional.empty(), positions.required("a"));
		Expect.equal(Optional.of(LogPosition.NONE), positions.required(""));
		positions.raiseFloor(LogPosition.NONE);
		Expect.equal(Optional.of(position(1)), positions.required("a"));
		Expect.equal(Optional.of(position(2)), positions.required("b"));
	}

	// Guards against unbounded memory use and against losing the write position of an
	// evicted session.
	@Test
	void evictionRaisesTheFloor() {
		SessionPositions positions = new SessionPositions(100);
		positions.raiseFloor(LogPosition.NONE);
		for (int i = 1; i <= 1_000; i++) {
			positions.recordWrite("session" + i, position(i));
			positions.recordWrite("active", position(i));
		}
		Expect.equal(100, positions.size());
		for (int i = 1; i <= 1_000; i++) {
			Expect.that(positions.required("session" + i).orElseThrow().includes(position(i)),
					"the position of a write was lost");
		}
		Expect.equal(Optional.of(position(1_000)), positions.required("active"));
		Expect.that(!positions.required("unknown").orElseThrow().includes(position(950)), "floor is too high");
	}

	// Guards against lost updates between writes, reads and the floor.
	@Test
	void isLinearizableBelowCapacity() {
		options().check(Shared.class);
	}

	// Guards against an evicted session that is temporarily neither in the table nor
	// covered by the floor. Eviction is not atomic, so the test checks this property
	// instead of linearizability.
	@Test
	void aRecordedWriteIsRequiredWhileOthersAreEvicted() {
		options().check(Evicting.class);
	}

	// Guards against a required position that is lowered by a delayed response.
	@Test
	void requiredPositionsNeverDecrease() {
		SessionPositions positions = new SessionPositions(10);
		positions.raiseFloor(position(5));
		positions.raiseFloor(position(4));
		positions.recordWrite("a", position(9));
		positions.recordWrite("a", position(8));
		Expect.equal(Optional.of(position(9)), positions.required("a"));
		Expect.equal(Optional.of(position(5)), positions.required("b"));
	}

	private static SessionPositions withFloor() {
		SessionPositions positions = new SessionPositions(1);
		positions.raiseFloor(LogPosition.NONE);
		return positions;
	}

	// By default Lincheck executes five operations before and after the concurrent part.
	// They take half of the time and hide errors: at the same number of invocations, an
	// eviction that removes the entry before it raises the floor is detected only without
	// them.
	private static ModelCheckingOptions options() {
		return new ModelCheckingOptions().iterations(8)
			.invocationsPerIteration(200)
			.threads(2)
			.actorsPerThread(3)
			.actorsBefore(0)
			.actorsAfter(0);
	}

	@Param(name = "index", gen = IntGen.class, conf = "1:3")
	public static class Shared {

		private final SessionPositions positions = new SessionPositions(10);

		@Operation
		public void recordWrite(@Param(name = "index") int index) {
			this.positions.recordWrite("a", POSITIONS[index]);
		}

		@Operation
		public void raiseFloor(@Param(name = "index") int index) {
			this.positions.raiseFloor(POSITIONS[index]);
		}

		@Operation
		public long required() {
			Optional<LogPosition> required = this.positions.required("a");
			return required.isPresent() ? required.get().index() : -1;
		}

	}

	@Param(name = "session", gen = IntGen.class, conf = "1:3")
	public static class Evicting {

		private final SessionPositions positions = withFloor();

		@Operation
		public boolean writeAndRead(@Param(name = "session") int session) {
			this.positions.recordWrite(SESSIONS[session], POSITIONS[session]);
			return this.positions.required(SESSIONS[session]).orElseThrow().includes(POSITIONS[session]);
		}

	}

}
