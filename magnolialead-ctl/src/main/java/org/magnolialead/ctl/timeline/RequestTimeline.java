package org.magnolialead.ctl.timeline;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * What the logs of all processes say of one request: the lines that name it and, around
 * them, what the processes learned of members, control and themselves.
 */
public final class RequestTimeline {

	/** Time before the first line of a request in which its cause may lie. */
	private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(3);

	/** Time after the last line, for clocks that differ between VMs. */
	private static final Duration CONTEXT_AFTER = Duration.ofSeconds(1);

	/**
	 * Events that can explain a failure: start and stop, leases and configuration,
	 * promotions, primaries and paths, control leadership.
	 */
	private static final Set<Integer> CONTEXT_EVENTS = Set.of(1001, 1003, 1004, 2001, 2002, 2004, 3103, 3104, 3302,
			3303, 3304, 3306, 3309, 3310, 4001, 4002, 4007, 1007);

	private RequestTimeline() {
	}

	/**
	 * Selects the lines that explain a request.
	 * @param request identifier of the request
	 * @param lines lines of all logs, in any order
	 * @return the lines in order of time, or none if no line names the request
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
