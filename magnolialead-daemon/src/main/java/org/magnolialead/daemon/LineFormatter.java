package org.magnolialead.daemon;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.HexFormat;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a record as one line of time, level and message, followed by the stack trace if
 * there is one. Control characters of the message, which may come from clients, are
 * escaped. Uses no format patterns because their first use takes a tenth of the startup
 * time of a daemon.
 */
final class LineFormatter extends Formatter {

	@Override
	public String format(LogRecord record) {
		StringBuilder line = new StringBuilder().append(record.getInstant())
			.append(' ')
			.append(record.getLevel().getName())
			.append(' ')
			.append(escape(record.getMessage()))
			.append('\n');
		if (record.getThrown() != null) {
			StringWriter trace = new StringWriter();
			record.getThrown().printStackTrace(new PrintWriter(trace, true));
			line.append(trace);
		}
		return line.toString();
	}

	private static String escape(String message) {
		if (message.chars().noneMatch(Character::isISOControl)) {
			return message;
		}
		StringBuilder escaped = new StringBuilder(message.length() + 16);
		message.chars().forEach((character) -> {
			if (Character.isISOControl(character)) {
				escaped.append("\\u").append(HexFormat.of().toHexDigits((char) character));
			}
			else {
				escaped.append((char) character);
			}
		});
		return escaped.toString();
	}

}
