package org.magnolialead.daemon;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a record as one line of time, level and message, followed by the stack trace if
 * there is one. Uses no format patterns because their first use takes a tenth of the
 * startup time of a daemon.
 */
final class LineFormatter extends Formatter {

	@Override
	public String format(LogRecord record) {
		StringBuilder line = new StringBuilder().append(record.getInstant())
			.append(' ')
			.append(record.getLevel().getName())
			.append(' ')
			.append(record.getMessage())
			.append('\n');
		if (record.getThrown() != null) {
			StringWriter trace = new StringWriter();
			record.getThrown().printStackTrace(new PrintWriter(trace, true));
			line.append(trace);
		}
		return line.toString();
	}

}
