package org.magnolialead.daemon.session;

import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;

/**
 * What sessions, connections and promotions share.
 *
 * @param loop serial executor on which everything of this package runs
 * @param clock clock for all deadlines
 * @param dialer opens connections to members
 * @param relays daemons that may relay connections to members
 */
record SessionServices(ScheduledExecutorService loop, MonotonicClock clock, MemberDialer dialer, RelayList relays) {

	SessionServices {
		Objects.requireNonNull(loop, "loop must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(dialer, "dialer must not be null");
		Objects.requireNonNull(relays, "relays must not be null");
	}

	long now() {
		return this.clock.nanoseconds();
	}

	Future<?> after(long nanoseconds, Runnable task) {
		return this.loop.schedule(task, nanoseconds, TimeUnit.NANOSECONDS);
	}

}
