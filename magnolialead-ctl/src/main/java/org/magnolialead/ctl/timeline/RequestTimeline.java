package org.magnolialead.ctl.timeline;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Timeline of one request in the logs of all processes: the lines that mention the
 * request, and the surrounding events that concern members, the control plane and the
 * processes themselves.
 */
public final class RequestTimeline {

	/**
	 * Period before the first line of a request in which the cause of a failure may lie.
	 */
	private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(3);

	/**
	 * Period after the last line of a request, which allows for clock differences between
	 * VMs.
	 */
	private static final Duration CONTEXT_AFTER = Duration.ofSeconds(1);

	/**
	 * Numbers of events that can explain a failure: startup and shutdown, leases and
	 * configuration, promotions, primaries and network paths, control leadership, stopped
	 * control logs and dropped log lines.
	 */
	private static final Set<Integer> CONTEXT_EVENTS = Set.of(1001, 1003, 1004, 2001, 2002, 2004, 3103, 3104, 3302,
			3303, 3304, 3306, 3309, 3310, 4001, 4002, 4007, 1007);

	private RequestTimeline() {
	}

	/**
	 * Selects the lines that explain the outcome of a request.
	 * @param request identifier of the request
	 * @param lines lines of all logs, in any order
	 * @return the lines in chronological order, or an empty list if no line mentions the
	 * request
	 */
	public static List<String> select(String request, List<SavedLine> lines) {
		List<LogLine> events = lines.stream()
			.flatMap((line) -> LogLine.parse(line.file(), line.text()).stream())
			.sorted(Comparator.comparing(LogLine::time))
			.toList();
		List<Instant> times = events.stream().filter((event) -> event.mentions(request)).map(LogLine::time).toList();
		if (times.isEmpty()) {
			return List.of();
		}
		Instant from = times.get(0).minus(CONTEXT_BEFORE);
		Instant until = times.get(times.size() - 1).plus(CONTEXT_AFTER);
		return events.stream()
			.filter((event) -> !event.time().isBefore(from) && !event.time().isAfter(until))
			.filter((event) -> event.mentions(request) || CONTEXT_EVENTS.contains(event.number()))
			.map((event) -> "%s %s %s %s".formatted(event.mentions(request) ? ">" : " ", event.time(), event.source(),
					event.text()))
			.toList();
	}

	/**
	 * Line of a saved log.
	 *
	 * @param file name of the file
	 * @param text the line
	 */
	public record SavedLine(String file, String text) {
	}

}
