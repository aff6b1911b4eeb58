package org.magnolialead.daemon.control;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.consensus.FaultTolerance;

/**
 * Reports when the control cluster has too few voters for the losses that it must
 * tolerate. Used on one thread.
 */
public final class FaultToleranceMonitor {

	private static final System.Logger LOGGER = System.getLogger(FaultToleranceMonitor.class.getName());

	/** Time in which restarted or replaced voters join before their absence is logged. */
	private static final long REPORT_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private final FaultTolerance tolerance;

	private OptionalLong reportAt = OptionalLong.empty();

	private boolean reported;

	/**
	 * Creates a monitor.
	 * @param tolerance number of voters that may be lost at once
	 */
	public FaultToleranceMonitor(FaultTolerance tolerance) {
		this.tolerance = tolerance;
	}

	/**
	 * Checks the number of voters.
	 * @param leader whether this daemon leads the cluster; others do not report
	 * @param voters number of voters
	 * @param now present time in nanoseconds
	 * @return whether the lack of voters has been reported and persists
	 */
	public boolean check(boolean leader, int voters, long now) {
		if (!leader || voters >= this.tolerance.votersToElect()) {
			this.reportAt = OptionalLong.empty();
			if (leader && this.reported) {
				LogEvent.CONTROL_TOLERANCE_REGAINED.log(LOGGER, voters, this.tolerance.losses());
			}
			this.reported = false;
			return false;
		}
		if (this.reportAt.isEmpty()) {
			this.reportAt = OptionalLong.of(now + REPORT_DELAY_NANOSECONDS);
		}
		if (!this.reported && now - this.reportAt.getAsLong() >= 0) {
			this.reported = true;
			LogEvent.CONTROL_TOLERANCE_LOST.log(LOGGER, voters, this.tolerance.votersToElect(),
					this.tolerance.losses());
		}
		return this.reported;
	}

}
