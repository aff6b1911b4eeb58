package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.ErrorCode;

/**
 * Result of offering a work item to the scheduler.
 */
public sealed interface Admission {

	/**
	 * The item waits for a slot.
	 */
	record Admitted() implements Admission {
	}

	/**
	 * The item was not accepted and will not run.
	 *
	 * @param code why it was refused
	 * @param retryAfterMilliseconds time in milliseconds after which another attempt is
	 * likely to be accepted; 0 if not specified
	 */
	record Refused(ErrorCode code, long retryAfterMilliseconds) implements Admission {

		public Refused {
			Objects.requireNonNull(code, "code must not be null");
		}
	}

}
