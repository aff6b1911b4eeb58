package org.magnolialead.testsupport.standin;

import java.util.List;

import org.magnolialead.api.LogPosition;

/**
 * Record in the log of a member with the statements of one write or transaction.
 *
 * @param term term of the primary that wrote it
 * @param index index in the log, starting at 1
 * @param timeMilliseconds wall-clock time of the execution in milliseconds since the Unix
 * epoch
 * @param statements statements in execution order
 */
record LogRecord(long term, long index, long timeMilliseconds, List<Statement> statements) {

	LogPosition position() {
		return new LogPosition(this.term, this.index);
	}

}
