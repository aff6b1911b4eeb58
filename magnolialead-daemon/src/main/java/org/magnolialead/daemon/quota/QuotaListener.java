package org.magnolialead.daemon.quota;

import org.magnolialead.engine.quota.QuotaDecision;

/**
 * Operation that takes a token of its client account.
 */
@FunctionalInterface
public interface QuotaListener {

	/**
	 * Receives the decision about the operation after it has waited.
	 * @param decision the decision, never {@link QuotaDecision#WAITING}
	 */
	void decided(QuotaDecision decision);

}
