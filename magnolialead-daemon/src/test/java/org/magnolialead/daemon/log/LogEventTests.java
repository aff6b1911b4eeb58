package org.magnolialead.daemon.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Tests for {@link LogEvent}.
 */
class LogEventTests {

	private static final Pattern ROW = Pattern.compile("(?m)^\\| (\\d+) \\| ([A-Z_]+) \\| ([A-Z]+) \\|");

	// Guards against an event that operators find in the log but not in the catalogue.
	@Test
	void catalogueListsExactlyTheEventsOfTheCode() throws IOException {
		List<String> documented = ROW.matcher(Files.readString(Path.of("..", "docs", "log-events.md")))
			.results()
			.map(LogEventTests::row)
			.toList();
		List<String> declared = Arrays.stream(LogEvent.values())
			.map((event) -> "%d %s %s".formatted(event.number(), event.name(), event.level()))
			.toList();
		assertEquals(declared, documented);
	}

	// Guards against two events that an alert on the number cannot tell apart.
	@Test
	void numbersAreUnique() {
		long distinct = Arrays.stream(LogEvent.values()).mapToInt(LogEvent::number).distinct().count();
		assertEquals(LogEvent.values().length, distinct);
	}

	private static String row(MatchResult match) {
		return "%s %s %s".formatted(match.group(1), match.group(2), match.group(3));
	}

}
