package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.ErrorCode;

/**
 * Answer of the scheduler to an offered work item.
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
	 * @param retryAfterMilliseconds when another attempt is likely to be accepted; 0 if
	 * not stated
	 */
	record Refused(ErrorCode code, long retryAfterMilliseconds) implements Admission {

		public Refused {
			Objects.requireNonNull(code, "code must not be null");
		}
	}

}
