package org.magnolialead.ctl.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Result of a run of the load generator. Times are in milliseconds unless stated
 * otherwise.
 *
 * @param seconds duration of the measured part in seconds
 * @param requestsPerSecond answered requests per second
 * @param mixes result of each class of requests
 * @param longestWriteGap longest time between acknowledged writes of a group, by group
 * @param idleConnectionsAsked requested number of idle connections
 * @param idleConnectionsOpen number of idle connections that were open at the end
 * @param checks result of the checks
 */
public record LoadReport(double seconds, double requestsPerSecond, List<MixReport> mixes,
		Map<String, Double> longestWriteGap, int idleConnectionsAsked, int idleConnectionsOpen, CheckReport checks) {

	public LoadReport {
		mixes = List.copyOf(mixes);
	}

	/**
	 * Returns the report as text for a terminal.
	 * @return the text, which ends with a line separator
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
	 * @param offered number of requests that were due in the measured part
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
	 * @param examples descriptions of the first violations
	 * @param sessionReads number of checked reads of a session's own writes, by use of
	 * the session token
	 * @param countersVerified number of counters compared after the run
	 * @param acknowledgedKeysVerified number of acknowledged unique keys read after the
	 * run
	 * @param notRunKeysVerified number of unique keys reported as not run that were read
	 * after the run
	 * @param unverified number of keys that could not be read
	 */
	public record CheckReport(Map<String, Long> violations, List<String> examples, Map<String, Long> sessionReads,
			int countersVerified, int acknowledgedKeysVerified, int notRunKeysVerified, long unverified) {

		/**
		 * Returns whether no violation was found.
		 * @return {@code true} if there is none
		 */
		public boolean passed() {
			return this.violations.values().stream().allMatch((count) -> count == 0);
		}

		/**
		 * Returns the violations that were found.
		 * @return single-line text
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
