package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests of what sessions make a daemon keep.
 */
class SessionValuesTests {

	private static final int ENTRY = SessionMemory.ENTRY_BYTES;

	private final SessionMemory memory = new SessionMemory(new SessionLimits(3, 100, 2, 50, 900));

	private final SessionValues session = new SessionValues(this.memory);

	@Nested
	class SharedTexts {

		private final SessionMemory memory = SessionValuesTests.this.memory;

		@Test
		void equalTextsOfSessionsHaveOneName() {
			PreparedStatement first = this.memory.acquire(true, "text");
			assertThat(this.memory.acquire(true, "text")).isEqualTo(first);
			assertThat(this.memory.acquire(false, "text").sharedName()).isNotEqualTo(first.sharedName());
		}

		/**
		 * Guards against a text that is dropped while another session still holds it.
		 */
		@Test
		void textIsHeldUntilItsLastSessionReleasesIt() {
			PreparedStatement statement = this.memory.acquire(true, "text");
			this.memory.acquire(true, "text");
			this.memory.release(statement);
			assertThat(this.memory.heldBytes()).isEqualTo(ENTRY + 4);
			this.memory.release(statement);
			assertThat(this.memory.heldBytes()).isZero();
			assertThatIllegalStateException().isThrownBy(() -> this.memory.release(statement));
		}

		/**
		 * Guards against texts that are kept for ever: a client that prepares one text
		 * after the other ended the daemon with a full heap.
		 */
		@Test
		void textsThatNoSessionHoldsAreBoundedInNumberAndSize() {
			String filler = "x".repeat(8_000);
			for (int number = 0; number < 2_000; number++) {
				this.memory.release(this.memory.acquire(false, "short" + number));
				assertThat(this.memory.statements()).isLessThanOrEqualTo(SessionMemory.MAXIMUM_UNUSED_STATEMENTS);
			}
			for (int number = 0; number < 2_000; number++) {
				this.memory.release(this.memory.acquire(false, filler + number));
				assertThat(this.memory.unusedBytes()).isLessThanOrEqualTo(SessionMemory.MAXIMUM_UNUSED_BYTES);
			}
			assertThat(this.memory.heldBytes()).isZero();
			this.memory.release(this.memory.acquire(false, "x".repeat((int) SessionMemory.MAXIMUM_UNUSED_BYTES)));
			assertThat(this.memory.statements()).isZero();
			assertThat(this.memory.unusedBytes()).isZero();
		}

		/**
		 * Guards against sessions of a single operation that each prepare the same text
		 * on the member connections again.
		 */
		@Test
		void unusedTextIsFoundAgainUnderItsName() {
			PreparedStatement statement = this.memory.acquire(true, "text");
			this.memory.release(statement);
			assertThat(this.memory.acquire(true, "text")).isEqualTo(statement);
			assertThat(this.memory.unusedBytes()).isZero();
		}

		/**
		 * Guards against a name that runs the text of another statement, because a member
		 * connection still knows it from before.
		 */
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3 })
		void namesAreNeverUsedForAnotherText(long seed) {
			Random random = new Random(seed);
			Map<String, String> textsByName = new HashMap<>();
			List<PreparedStatement> held = new ArrayList<>();
			for (int step = 0; step < 20_000; step++) {
				if (random.nextBoolean() && !held.isEmpty()) {
					this.memory.release(held.remove(random.nextInt(held.size())));
					continue;
				}
				boolean writes = random.nextBoolean();
				PreparedStatement statement = this.memory.acquire(writes, "text" + random.nextInt(2_000));
				held.add(statement);
				String text = writes + statement.text();
				assertThat(textsByName.computeIfAbsent(statement.sharedName(), (name) -> text)).isEqualTo(text);
			}
			held.forEach(this.memory::release);
			assertThat(this.memory.heldBytes()).isZero();
		}

	}

	/**
	 * Guards against a session that makes the daemon keep values without a limit.
	 */
	@Nested
	class Limits {

		private final SessionMemory memory = SessionValuesTests.this.memory;

		private final SessionValues session = SessionValuesTests.this.session;

		@Test
		void numberOfPreparedStatementsIsLimited() {
			for (String name : List.of("a", "b", "c")) {
				assertThat(this.session.prepare(name, false, "")).isEmpty();
			}
			assertThat(this.session.prepare("d", false, "")).contains(SessionRefusal.PREPARED_STATEMENTS);
			assertThat(this.session.prepare("c", true, "")).isEmpty();
			this.session.close("c");
			assertThat(this.session.prepare("d", false, "")).isEmpty();
		}

		@Test
		void sizeOfPreparedStatementsIsLimited() {
			assertThat(this.session.prepare("a", false, "x".repeat(99))).isEmpty();
			assertThat(this.session.prepare("b", false, "")).contains(SessionRefusal.PREPARED_BYTES);
			assertThat(this.session.prepare("a", false, "x".repeat(100))).contains(SessionRefusal.PREPARED_BYTES);
			assertThat(this.session.prepare("a", false, "x".repeat(98))).isEmpty();
			assertThat(this.session.prepare("b", false, "")).isEmpty();
			this.session.close("a");
			assertThat(this.session.prepare("a", false, "x".repeat(98))).isEmpty();
		}

		@Test
		void numberOfVariablesIsLimited() {
			assertThat(this.session.set("a", "1")).isEmpty();
			assertThat(this.session.set("b", "1")).isEmpty();
			assertThat(this.session.set("c", "1")).contains(SessionRefusal.VARIABLES);
			assertThat(this.session.set("b", "2")).isEmpty();
			assertThat(this.session.variables()).isEqualTo(Map.of("a", "1", "b", "2"));
		}

		@Test
		void sizeOfVariablesIsLimited() {
			assertThat(this.session.set("a", "x".repeat(49))).isEmpty();
			assertThat(this.session.set("b", "")).contains(SessionRefusal.VARIABLE_BYTES);
			assertThat(this.session.set("a", "x".repeat(50))).contains(SessionRefusal.VARIABLE_BYTES);
			assertThat(this.session.set("a", "")).isEmpty();
			assertThat(this.session.set("b", "x".repeat(48))).isEmpty();
		}

		/**
		 * Guards against a refused statement that replaces or drops the one before.
		 */
		@Test
		void refusedStatementLeavesTheOneBefore() {
			this.session.prepare("a", false, "before");
			PreparedStatement before = this.session.preparedStatement("a").orElseThrow();
			long held = this.memory.heldBytes();
			assertThat(this.session.prepare("a", false, "x".repeat(200))).isPresent();
			assertThat(this.session.preparedStatement("a")).contains(before);
			assertThat(this.memory.heldBytes()).isEqualTo(held);
		}

		/**
		 * Guards against many sessions that together fill the heap, and against bytes
		 * that are still counted after the session has ended.
		 */
		@Test
		void sizeOfAllSessionsIsLimitedAndEndsWithThem() {
			List<SessionValues> sessions = new ArrayList<>();
			boolean refused = false;
			for (int number = 0; number < 20; number++) {
				SessionValues other = new SessionValues(this.memory);
				sessions.add(other);
				refused = other.prepare("a", false, "text" + number).isPresent();
				assertThat(this.memory.heldBytes()).isLessThanOrEqualTo(900);
			}
			assertThat(refused).isTrue();
			assertThat(this.session.set("a", "x".repeat(40))).contains(SessionRefusal.DAEMON_BYTES);
			sessions.forEach(SessionValues::release);
			sessions.forEach(SessionValues::release);
			assertThat(this.memory.heldBytes()).isZero();
			assertThat(this.session.set("a", "x".repeat(40))).isEmpty();
		}

		/**
		 * Guards against a fleet whose sessions use few texts and that is refused because
		 * each session counts them again.
		 */
		@Test
		void textOfSeveralSessionsIsCountedOnce() {
			this.session.prepare("a", false, "x".repeat(99));
			SessionValues other = new SessionValues(this.memory);
			long before = this.memory.heldBytes();
			other.prepare("b", false, "x".repeat(99));
			assertThat(this.memory.heldBytes() - before).isEqualTo(ENTRY + 1);
		}

	}

}
