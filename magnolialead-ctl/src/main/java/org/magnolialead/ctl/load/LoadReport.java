package org.magnolialead.ctl.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Result of a run of the load generator. Times are milliseconds.
 *
 * @param seconds length of the measured part in seconds
 * @param requestsPerSecond answered requests per second
 * @param mixes result of each class of requests
 * @param longestWriteGap longest time between acknowledged writes of a group, by group
 * @param idleConnectionsAsked idle connections asked for
 * @param idleConnectionsOpen idle connections that were open at the end
 * @param checks result of the checks
 */
public record LoadReport(double seconds, double requestsPerSecond, List<MixReport> mixes,
		Map<String, Double> longestWriteGap, int idleConnectionsAsked, int idleConnectionsOpen, CheckReport checks) {

	public LoadReport {
		mixes = List.copyOf(mixes);
	}

	/**
	 * Returns the report for a terminal.
	 * @return the text with a line end
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		text.append(format("%.1f s measured, %.1f requests/s answered%n", this.seconds, this.requestsPerSecond));
		this.mixes.forEach((mix) -> text.append(mix.text()));
		text.append(format("longest gap between acknowledged writes by group in ms: %s%n", this.longestWriteGap));
		text.append(format("idle connections: %d of %d open%n", this.idleConnectionsOpen, this.idleConnectionsAsked));
		text.append(this.checks.text());
		return text.toString();
	}

	private static String format(String format, Object... arguments) {
		return String.format(Locale.ROOT, format, arguments);
	}

	/**
	 * Result of one class of requests.
	 *
	 * @param profile name of the profile
	 * @param kind read or write
	 * @param offered requests due in the measured part
	 * @param outcomes number of requests by result
	 * @param doneWithinDeadline share of offered requests done within their timeout
	 * @param replicaShare share of done reads that a replica served
	 * @param members number of done requests by database member
	 * @param latency latency of done requests by percentile, from the time they were due
	 */
	public record MixReport(String profile, String kind, long offered, Map<String, Long> outcomes,
			double doneWithinDeadline, double replicaShare, Map<String, Long> members, Map<String, Double> latency) {

		private String text() {
			return format("%s %s: %d offered, %s, within deadline %.4f, replica share %.4f, members %s, latency %s%n",
					this.profile, this.kind, this.offered, this.outcomes, this.doneWithinDeadline, this.replicaShare,
					this.members, this.latency);
		}

	}

	/**
	 * Result of the checks.
	 *
	 * @param violations number of violations by kind
	 * @param examples some violations in words
	 * @param sessionReads reads of a session's own writes that were checked, by use of
	 * the session token
	 * @param countersVerified counters compared at the end
	 * @param acknowledgedKeysVerified acknowledged unique keys looked up at the end
	 * @param notRunKeysVerified unique keys reported as not run that were looked up
	 * @param unverified look-ups that failed
	 */
	public record CheckReport(Map<String, Long> violations, List<String> examples, Map<String, Long> sessionReads,
			int countersVerified, int acknowledgedKeysVerified, int notRunKeysVerified, long unverified) {

		/**
		 * Tells whether no violation was found.
		 * @return {@code true} if there is none
		 */
		public boolean passed() {
			return this.violations.values().stream().allMatch((count) -> count == 0);
		}

		/**
		 * Returns the violations that were found.
		 * @return text of one line
		 */
		public String summary() {
			String kinds = this.violations.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() > 0)
				.map((entry) -> entry.getKey() + " " + entry.getValue())
				.collect(Collectors.joining(", "));
			return this.examples.isEmpty() ? kinds : kinds + "; first: " + this.examples.get(0);
		}

		private String text() {
			return format(
					"checks: %s; session reads %s; verified %d counters, %d acknowledged and %d not-run keys, "
							+ "%d not verified%n",
					passed() ? "passed" : summary(), this.sessionReads, this.countersVerified,
					this.acknowledgedKeysVerified, this.notRunKeysVerified, this.unverified);
		}

	}

}
