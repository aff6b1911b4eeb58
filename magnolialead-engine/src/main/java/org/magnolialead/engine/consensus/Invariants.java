package org.magnolialead.engine.consensus;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * Checks invariants of the replicated log.
 */
final class Invariants {

	private Invariants() {
	}

	static void require(boolean holds, String peer, String message, Object... arguments) {
		if (!holds) {
			throw new MagnolialeadException(ErrorCode.INVARIANT_VIOLATED, Step.CONTROL, peer,
					message.formatted(arguments));
		}
	}

}
