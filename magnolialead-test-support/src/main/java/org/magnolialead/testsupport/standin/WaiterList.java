package org.magnolialead.testsupport.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.util.concurrent.EventExecutor;

/**
 * Long polls that wait for a condition. Used on the event loop only.
 */
final class WaiterList {

	private final EventExecutor loop;

	private final List<Waiter> waiters = new ArrayList<>();

	WaiterList(EventExecutor loop) {
		this.loop = loop;
	}

	void add(BooleanSupplier condition, long waitMilliseconds, Runnable completion) {
		if (waitMilliseconds <= 0 || condition.getAsBoolean()) {
			completion.run();
			return;
		}
		Waiter waiter = new Waiter(condition, completion);
		this.waiters.add(waiter);
		this.loop.schedule(() -> complete(waiter), waitMilliseconds, TimeUnit.MILLISECONDS);
	}

	void wake() {
		for (Waiter waiter : List.copyOf(this.waiters)) {
			if (waiter.condition().getAsBoolean()) {
				complete(waiter);
			}
		}
	}

	private void complete(Waiter waiter) {
		if (this.waiters.remove(waiter)) {
			waiter.completion().run();
		}
	}

	private record Waiter(BooleanSupplier condition, Runnable completion) {
	}

}
