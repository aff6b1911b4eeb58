package org.magnolialead.engine.queue;

import java.util.Locale;

/**
 * Reason for which a request that needs a member connection is refused before anything of
 * it was sent. It answers a load beyond the capacity of the members, and members that
 * cannot be reached.
 */
public enum QueueRefusal {

	/** The expected wait exceeds half of the remaining time on arrival. */
	EXPECTED_WAIT("the expected wait is too long"),

	/** The request has waited for as long as leaves its client time to try again. */
	QUEUE_TIMEOUT("waited too long"),

	/** No connection to a member that can serve the request became available. */
	UNAVAILABLE_MEMBER("no connection to a member"),

	/** The remaining time is shorter than the service time of the route. */
	INSUFFICIENT_TIME("the remaining time is too short"),

	/** The group was removed or the daemon ends. */
	CLOSED("the group is closed");

	private final String detail;

	QueueRefusal(String detail) {
		this.detail = detail;
	}

	/**
	 * Returns the text for the answer and for the log line of the statement.
	 * @return the text
	 */
	public String detail() {
		return "no member can serve this in time: " + this.detail;
	}

	/**
	 * Returns the name of the reason in metrics.
	 * @return lower-case words joined by hyphens
	 */
	public String metricName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
