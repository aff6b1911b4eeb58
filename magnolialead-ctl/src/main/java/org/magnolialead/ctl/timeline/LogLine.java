package org.magnolialead.ctl.timeline;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parsed line of a daemon's log.
 *
 * @param time time of the event on the clock of its VM
 * @param source name of the file and any text before the timestamp, such as the name of
 * the daemon
 * @param number event number
 * @param text text of the event, starting with its number
 */
record LogLine(Instant time, String source, int number, String text) {

	private static final Pattern LINE_PATTERN = Pattern
		.compile("^(.*?)(\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d[.\\d]*Z) [A-Z]+ (ML-(\\d+) .*)$");

	LogLine {
		Objects.requireNonNull(time, "time must not be null");
		Objects.requireNonNull(source, "source must not be null");
		Objects.requireNonNull(text, "text must not be null");
	}

	/**
	 * Parses a line.
	 * @param file name of the file
	 * @param line the line
	 * @return the event, or empty if the line is not an event
	 */
	static Optional<LogLine> parse(String file, String line) {
		Matcher matcher = LINE_PATTERN.matcher(line);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		try {
			String source = (file + " " + matcher.group(1)).trim();
			return Optional.of(new LogLine(Instant.parse(matcher.group(2)), source, Integer.parseInt(matcher.group(4)),
					matcher.group(3)));
		}
		catch (DateTimeParseException | NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns whether the event mentions a request.
	 * @param request identifier of the request
	 * @return {@code true} if the event contains the request identifier
	 */
	boolean mentions(String request) {
		return (this.text + " ").contains(" request=" + request + " ");
	}

}
