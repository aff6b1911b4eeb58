package org.magnolialead.daemon.session;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.engine.session.FencingToken;
import org.magnolialead.engine.session.PromotionOrders;

/**
 * Service of the platform that makes a database member the primary of its group.
 */
public interface PromotionService {

	/**
	 * Orders a promotion. The order is sent at most once. If it receives no answer, the
	 * platform may still execute it at any later time.
	 * @param group the database group
	 * @param member member to promote
	 * @param holder name of the daemon that gives the order
	 * @param fencingToken token that no other order has
	 * @return a future that completes with the result and never exceptionally
	 */
	CompletableFuture<Result> promote(String group, String member, String holder, FencingToken fencingToken);

	/**
	 * Result of a promotion order.
	 */
	enum Result {

		/** The order was accepted. */
		ACCEPTED {

			@Override
			void recordIn(PromotionOrders orders, FencingToken token) {
				orders.accepted(token);
			}

		},
		/** The member is not running, or a higher fencing token was used before. */
		REFUSED {

			@Override
			void recordIn(PromotionOrders orders, FencingToken token) {
				orders.refused(token);
			}

		},
		/** The platform accepts no more orders at the moment. */
		RATE_LIMITED {

			@Override
			void recordIn(PromotionOrders orders, FencingToken token) {
				orders.refused(token);
			}

		},
		/** No conclusive answer; the order may still take effect. */
		UNKNOWN {

			@Override
			void recordIn(PromotionOrders orders, FencingToken token) {
				orders.unanswered(token);
			}

		};

		/**
		 * Records this result of an order.
		 * @param orders orders of the group
		 * @param token token of the order
		 */
		abstract void recordIn(PromotionOrders orders, FencingToken token);

	}

}
