package org.magnolialead.ctl.report;

import java.time.Instant;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.magnolialead.api.servicelevel.SlotResolution;
import org.magnolialead.api.servicelevel.WriteSlot;

/**
 * Plain-text form of a report.
 */
final class TextReport {

	private static final int PERCENT = 100;

	private final BurnReport report;

	private final StringBuilder text = new StringBuilder();

	TextReport(BurnReport report) {
		this.report = report;
	}

	String render() {
		appendHeader();
		this.report.levels().profiles().forEach(this::appendProfile);
		this.report.levels().groups().forEach(this::appendGroup);
		return this.text.toString();
	}

	private void appendHeader() {
		SlotResolution resolution = SlotResolution.TEN_SECONDS;
		long end = (this.report.levels().lastSlot(resolution) + 1) * resolution.milliseconds();
		String daemons = this.report.collection()
			.collected()
			.stream()
			.map((collected) -> collected.snapshot().daemon())
			.distinct()
			.sorted()
			.map(PrintableText::sanitize)
			.collect(Collectors.joining(", "));
		appendLine("service levels up to %s, from the entry daemons %s", Instant.ofEpochMilli(end), daemons);
		long unrecorded = this.report.collection()
			.collected()
			.stream()
			.mapToLong((collected) -> collected.snapshot().unrecordedWrites())
			.sum();
		if (unrecorded > 0) {
			appendLine("%d writes to groups beyond the recording limit are not shown", unrecorded);
		}
	}

	private void appendProfile(ProfileTimeline timeline) {
		double objective = this.report.objective(timeline);
		appendLine("");
		appendLine("profile %s, rank %s, objective %s within deadline", PrintableText.sanitize(timeline.profile()),
				timeline.rank(), percent(objective));
		appendLine("  %-7s %12s %9s %8s %13s", "window", "requests", "within", "burn", "replica reads");
		Map<BurnWindow, ServiceLevel> byWindow = this.report.levelsByWindow(timeline);
		byWindow.forEach(
				(window, level) -> appendLine("  %-7s %12d %9s %8s %13s", window.label(), level.counts().requests(),
						percent(level.withinDeadline()), number(level.burnRate()), percent(level.replicaShare())));
		this.report.exceededThresholds(timeline)
			.forEach((threshold) -> appendLine("  !! %s BURN: %s", threshold, threshold.description()));
		Arrays.stream(BurnThreshold.values())
			.filter((threshold) -> threshold.isUnreachable(objective))
			.forEach((threshold) -> appendLine("  burn cannot exceed the %s threshold of %s with this objective",
					threshold.name().toLowerCase(Locale.ROOT), threshold.burnRate()));
	}

	private void appendGroup(GroupTimeline timeline) {
		appendLine("");
		appendLine("database group %s", PrintableText.sanitize(timeline.group()));
		appendLine("  %-7s %18s %13s %17s", "window", "longest write gap", "acknowledged", "not acknowledged");
		for (BurnWindow window : BurnWindow.values()) {
			appendLine("  %-7s %18s %13d %17d", window.label(), gap(timeline.longestGapMilliseconds(window)),
					timeline.acknowledged(window), timeline.notAcknowledged(window));
		}
	}

	private void appendLine(String format, Object... arguments) {
		this.text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
	}

	private static String gap(long milliseconds) {
		return (milliseconds != WriteSlot.NO_GAP_KNOWN) ? milliseconds + " ms" : "-";
	}

	private static String percent(double share) {
		return Double.isNaN(share) ? "-" : number(share * PERCENT) + "%";
	}

	private static String number(double value) {
		return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%.2f", value);
	}

}
