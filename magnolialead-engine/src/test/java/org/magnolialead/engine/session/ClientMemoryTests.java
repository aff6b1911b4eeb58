package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that are admitted beyond the budget or never, and against
 * closing a connection that holds little.
 */
class ClientMemoryTests {

	private final ClientMemory<String> memory = new ClientMemory<>(100, 40);

	@Test
	void admitsLargeMessagesWithinTheBudgetInOrderOfArrival() {
		assertThat(this.memory.admitLargeMessage("a")).isTrue();
		assertThat(this.memory.admitLargeMessage("b")).isTrue();
		assertThat(this.memory.admitLargeMessage("c")).isFalse();
		assertThat(this.memory.admitLargeMessage("d")).isFalse();
		assertThat(this.memory.nextAdmitted()).isEmpty();
		this.memory.endLargeMessage("a");
		assertThat(this.memory.admitLargeMessage("e")).as("c waits longer").isFalse();
		assertThat(this.memory.nextAdmitted()).contains("c");
		assertThat(this.memory.admitLargeMessage("c")).isTrue();
		assertThat(this.memory.nextAdmitted()).isEmpty();
		this.memory.remove("d");
		this.memory.remove("b");
		assertThat(this.memory.nextAdmitted()).contains("e");
		assertThat(this.memory.waitingCount()).isZero();
	}

	@Test
	void admitsOneLargeMessageWhateverIsHeld() {
		this.memory.hold("a", 99);
		assertThat(this.memory.admitLargeMessage("b")).isTrue();
		assertThat(this.memory.admitLargeMessage("c")).isFalse();
	}

	@Test
	void namesTheLargestHolderBeyondTheBudgetOnly() {
		this.memory.hold("small", 20);
		this.memory.hold("large", 50);
		assertThat(this.memory.excessHolder()).isEmpty();
		assertThat(this.memory.admitLargeMessage("small")).isTrue();
		assertThat(this.memory.excessHolder()).contains("small");
		this.memory.remove("small");
		assertThat(this.memory.excessHolder()).isEmpty();
		assertThat(this.memory.heldBytes()).isEqualTo(50);
		this.memory.hold("large", 10);
		assertThat(this.memory.heldBytes()).isEqualTo(10);
	}

}
