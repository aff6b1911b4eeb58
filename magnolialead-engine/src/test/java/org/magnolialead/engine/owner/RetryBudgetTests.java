package org.magnolialead.engine.owner;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

class RetryBudgetTests {

	private static final long SECOND = 1_000_000_000L;

	private final RetryBudget budget = new RetryBudget(0);

	// Guards against tokens that concurrent requests lose or spend twice.
	@Test
	void isLinearizable() {
		new ModelCheckingOptions().iterations(10)
			.invocationsPerIteration(500)
			.threads(2)
			.actorsPerThread(3)
			.check(Shared.class);
	}

	// Guards against retries that multiply an overload, and against a budget that never
	// permits a retry for a rarely used group.
	@Test
	void permitsTenPercentAndMinimumRate() {
		Expect.that(this.budget.tryRetry(0), "the first retry must be permitted");
		Expect.that(!this.budget.tryRetry(0), "the budget must be empty");
		int permitted = 0;
		for (int i = 0; i < 1_000; i++) {
			this.budget.requestStarted(0);
			permitted += this.budget.tryRetry(0) ? 1 : 0;
		}
		Expect.equal(100, permitted);
		Expect.that(this.budget.tryRetry(SECOND), "one retry per second must be permitted");
		Expect.that(!this.budget.tryRetry(SECOND), "no more than one retry per second");
	}

	public static class Shared {

		private final RetryBudget budget = new RetryBudget(0);

		@Operation
		public void requestStarted() {
			this.budget.requestStarted(0);
		}

		@Operation
		public boolean tryRetry() {
			return this.budget.tryRetry(0);
		}

		@Operation
		public boolean tryRetryLater() {
			return this.budget.tryRetry(SECOND);
		}

	}

}
