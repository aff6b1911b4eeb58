package org.magnolialead.testsupport.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.util.concurrent.EventExecutor;

/**
 * Long-poll requests that wait for a condition or their timeout. Confined to the event
 * loop.
 */
final class LongPollQueue {

	private final EventExecutor eventLoop;

	private final List<LongPoll> longPolls = new ArrayList<>();

	LongPollQueue(EventExecutor eventLoop) {
		this.eventLoop = eventLoop;
	}

	void add(BooleanSupplier condition, long waitMilliseconds, Runnable completion) {
		if (waitMilliseconds <= 0 || condition.getAsBoolean()) {
			completion.run();
			return;
		}
		LongPoll longPoll = new LongPoll(condition, completion);
		this.longPolls.add(longPoll);
		this.eventLoop.schedule(() -> complete(longPoll), waitMilliseconds, TimeUnit.MILLISECONDS);
	}

	void completeSatisfied() {
		for (LongPoll longPoll : List.copyOf(this.longPolls)) {
			if (longPoll.condition().getAsBoolean()) {
				complete(longPoll);
			}
		}
	}

	private void complete(LongPoll longPoll) {
		if (this.longPolls.remove(longPoll)) {
			longPoll.completion().run();
		}
	}

	private record LongPoll(BooleanSupplier condition, Runnable completion) {
	}

}
