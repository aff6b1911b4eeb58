package org.magnolialead.daemon.session;

import java.util.concurrent.CompletableFuture;

/**
 * Service of the platform that makes a database member the primary of its group.
 */
public interface PromotionService {

	/**
	 * Orders a promotion. The operation is idempotent.
	 * @param group the database group
	 * @param member member to promote
	 * @param holder name of the daemon that gives the order
	 * @param fencingToken fencing token, which increases with each owner of the group
	 * @return a future that completes with the result and never exceptionally
	 */
	CompletableFuture<Result> promote(String group, String member, String holder, long fencingToken);

	/**
	 * Result of a promotion order.
	 */
	enum Result {

		/** The order was accepted. */
		ACCEPTED,
		/** The member is not running, or a higher fencing token was used before. */
		REFUSED,
		/** No conclusive answer; the order may still take effect. */
		UNKNOWN

	}

}
