package org.magnolialead.daemon.filter;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

@Param(name = "time", gen = IntGen.class, conf = "1:6")
public class LeaseGateTests {

	private final LeaseGate gate = new LeaseGate(0);

	@Operation
	public void renew(@Param(name = "time") int deadline) {
		this.gate.renew(deadline);
	}

	@Operation
	public boolean isHeld(@Param(name = "time") int now) {
		return this.gate.isHeld(now);
	}

	/**
	 * Guards against concurrent renewals that shorten the lease or overwrite each other.
	 */
	@Test
	void renewalsAreLinearizable() {
		new ModelCheckingOptions().iterations(30).invocationsPerIteration(500).check(LeaseGateTests.class);
	}

	/**
	 * Guards against a comparison that fails when the value of the clock overflows, and
	 * against a late heartbeat answer that shortens the lease.
	 */
	@Test
	void deadlineNeverMovesBack() {
		long now = Long.MAX_VALUE - 10;
		LeaseGate overflowing = new LeaseGate(now);
		TestChecks.checkTrue(!overflowing.isHeld(now), () -> "a new gate holds no lease");
		overflowing.renew(now + 100);
		overflowing.renew(now + 50);
		TestChecks.checkTrue(overflowing.isHeld(now + 99), () -> "the lease must be held before the deadline");
		TestChecks.checkTrue(!overflowing.isHeld(now + 100), () -> "the lease must not be held at the deadline");
	}

}
