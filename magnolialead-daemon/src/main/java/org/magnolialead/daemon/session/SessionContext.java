package org.magnolialead.daemon.session;

import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;

/**
 * Dependencies and scheduling that sessions, connections and promotions share.
 *
 * @param loop serial executor on which all code of this package runs
 * @param clock clock for all deadlines
 * @param dialer opens connections to members
 * @param forwarder knows the other daemons and forwards statements to them
 * @param metrics counters and latencies
 * @param learnedLimits whether reads follow the learned limits of members
 */
record SessionContext(ScheduledExecutorService loop, MonotonicClock clock, MemberDialer dialer,
		StatementForwarder forwarder, SessionMetrics metrics, LearnedLimits learnedLimits) {

	private static final System.Logger LOGGER = System.getLogger(SessionContext.class.getName());

	SessionContext {
		Objects.requireNonNull(loop, "loop must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(dialer, "dialer must not be null");
		Objects.requireNonNull(forwarder, "forwarder must not be null");
		Objects.requireNonNull(metrics, "metrics must not be null");
		Objects.requireNonNull(learnedLimits, "learnedLimits must not be null");
	}

	long now() {
		return this.clock.nanoseconds();
	}

	Future<?> schedule(long delayNanoseconds, Runnable task) {
		return this.loop.schedule(logExceptions(task), delayNanoseconds, TimeUnit.NANOSECONDS);
	}

	void execute(Runnable task) {
		this.loop.execute(logExceptions(task));
	}

	Future<?> scheduleRepeatedly(long delayMilliseconds, Runnable task) {
		return this.loop.scheduleWithFixedDelay(logExceptions(task), delayMilliseconds, delayMilliseconds,
				TimeUnit.MILLISECONDS);
	}

	// Without this, the executor would discard the exception without logging it and
	// cancel a repeated task.
	private static Runnable logExceptions(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(LOGGER, ex, Step.SESSION, "", ex);
			}
		};
	}

}
