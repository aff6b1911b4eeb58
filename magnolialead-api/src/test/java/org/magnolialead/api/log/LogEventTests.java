package org.magnolialead.api.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogEvent}.
 */
class LogEventTests {

	private static final Pattern ROW = Pattern.compile("(?m)^\\| (\\d+) \\| ([A-Z_]+) \\| ([A-Z]+) \\|");

	// Guards against an event that docs/log-events.md omits or lists with a different
	// number, name or level.
	@Test
	void documentationListsExactlyTheDeclaredEvents() throws IOException {
		List<String> documented = ROW.matcher(Files.readString(Path.of("..", "docs", "log-events.md")))
			.results()
			.map(LogEventTests::row)
			.toList();
		List<String> declared = Arrays.stream(LogEvent.values())
			.map((event) -> "%d %s %s".formatted(event.number(), event.name(), event.level()))
			.toList();
		assertThat(documented).isEqualTo(declared);
	}

	// Guards against two events with the same number, which an alert could not
	// distinguish.
	@Test
	void numbersAreUnique() {
		long distinct = Arrays.stream(LogEvent.values()).mapToInt(LogEvent::number).distinct().count();
		assertThat(distinct).isEqualTo(LogEvent.values().length);
	}

	private static String row(MatchResult match) {
		return "%s %s %s".formatted(match.group(1), match.group(2), match.group(3));
	}

}
