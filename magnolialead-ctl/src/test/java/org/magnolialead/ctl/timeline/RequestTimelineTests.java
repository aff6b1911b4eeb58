package org.magnolialead.ctl.timeline;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnolialead.ctl.timeline.RequestTimeline.SavedLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Selection of the lines that explain the outcome of a request.
 */
class RequestTimelineTests {

	private static final List<SavedLine> LINES = List.of(
			line("b.log",
					"2026-12-04T14:00:02.500Z INFO ML-3305 statement failed: request=42 database=d error=TIMED_OUT"),
			line("a.log", "2026-12-04T14:00:01Z WARNING ML-3302 primary lost: group=g member=m cause=asked"),
			line("a.log", "2026-12-04T14:00:01.200Z INFO ML-3308 statement served: request=421 database=d member=m"),
			line("a.log", "2026-12-04T13:59:00Z WARNING ML-3302 primary lost: group=g member=m cause=asked"),
			line("c.log",
					"  12.5 front-1 2026-12-04T14:00:02.100Z INFO ML-3307 statement retried: request=42 database=d"),
			line("c.log", "java.lang.IllegalStateException: no event"));

	private static SavedLine line(String file, String text) {
		return new SavedLine(file, text);
	}

	/**
	 * Guards against lines that are ordered by file instead of time, lines of another
	 * request whose identifier has the same prefix, and missing context events.
	 */
	@Test
	void linesOfTheRequestAndItsContextAreInOrder() {
		assertThat(RequestTimeline.select("42", LINES)).hasSize(3)
			.satisfiesExactly((first) -> assertThat(first).startsWith("  2026-12-04T14:00:01Z a.log ML-3302"),
					(second) -> assertThat(second)
						.startsWith("> 2026-12-04T14:00:02.100Z c.log   12.5 front-1 ML-3307"),
					(third) -> assertThat(third).startsWith("> 2026-12-04T14:00:02.500Z b.log ML-3305"));
	}

	/**
	 * Guards against a timeline that suggests that an unknown request was received.
	 */
	@Test
	void unknownRequestHasNoTimeline() {
		assertThat(RequestTimeline.select("4", LINES)).isEmpty();
	}

}
