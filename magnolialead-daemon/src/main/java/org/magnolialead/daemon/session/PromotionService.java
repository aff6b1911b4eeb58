package org.magnolialead.daemon.session;

import java.util.concurrent.CompletableFuture;

/**
 * Service of the platform that makes a database member the primary of its group.
 */
public interface PromotionService {

	/**
	 * Orders a promotion. Repeating an order is harmless.
	 * @param group the database group
	 * @param member member to promote
	 * @param holder name of this daemon
	 * @param fencingToken token that increases with each owner of the group
	 * @return the result; never fails
	 */
	CompletableFuture<Result> promote(String group, String member, String holder, long fencingToken);

	/**
	 * Result of an order.
	 */
	enum Result {

		/** The order was accepted. */
		ACCEPTED,
		/** The member does not run, or a higher fencing token was used. */
		REFUSED,
		/** No clear answer; the order may be carried out later. */
		UNKNOWN

	}

}
