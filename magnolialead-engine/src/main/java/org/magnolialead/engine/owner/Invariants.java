package org.magnolialead.engine.owner;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * Runtime checks of invariants.
 */
final class Invariants {

	private Invariants() {
	}

	/**
	 * Fails if a condition does not hold.
	 * @param condition the condition
	 * @param step step at which it is checked
	 * @param peer name of the member concerned, or an empty string
	 * @param message description of the violated invariant
	 * @throws MagnolialeadException with code INVARIANT_VIOLATED
	 */
	static void check(boolean condition, Step step, String peer, String message) {
		if (!condition) {
			throw new MagnolialeadException(ErrorCode.INVARIANT_VIOLATED, step, peer, message);
		}
	}

}
