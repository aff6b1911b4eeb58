package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberStatus;

/**
 * What a failover decision takes into account.
 */
public sealed interface FailoverEvent {

	/**
	 * A member has answered a status request.
	 *
	 * @param status the answer
	 * @param sentAt time at which the request was sent
	 * @param answeredAt time at which the answer arrived
	 */
	record StatusAnswered(MemberStatus status, long sentAt, long answeredAt) implements FailoverEvent {

		public StatusAnswered {
			Objects.requireNonNull(status, "status must not be null");
		}
	}

	/**
	 * The view of the group has changed.
	 *
	 * @param view the new view
	 */
	record GroupChanged(GroupView view) implements FailoverEvent {

		public GroupChanged {
			Objects.requireNonNull(view, "view must not be null");
		}
	}

	/**
	 * Control has answered a reservation.
	 *
	 * @param newTerm term that was to be reserved
	 * @param accepted whether it is reserved for the candidate
	 */
	record ReserveAnswered(long newTerm, boolean accepted) implements FailoverEvent {
	}

	/**
	 * A member has answered a promotion.
	 *
	 * @param member name of the member
	 * @param term term of the promotion
	 * @param accepted whether it is primary of the term now
	 */
	record PromoteAnswered(String member, long term, boolean accepted) implements FailoverEvent {
	}

	/**
	 * Control has answered a confirmation.
	 *
	 * @param term term that was to be confirmed
	 * @param accepted whether the primary of the term is confirmed
	 */
	record ConfirmAnswered(long term, boolean accepted) implements FailoverEvent {
	}

}
