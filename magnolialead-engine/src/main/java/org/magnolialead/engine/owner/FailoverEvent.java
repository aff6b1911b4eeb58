package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberStatus;

/**
 * Event that a failover decision takes into account.
 */
public sealed interface FailoverEvent {

	/**
	 * A member has responded to a status request.
	 *
	 * @param status status of the member
	 * @param sentAt time at which the request was sent, in nanoseconds of the monotonic
	 * clock
	 * @param answeredAt time at which the response arrived, in nanoseconds of the
	 * monotonic clock
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
	 * The control plane has responded to a reservation.
	 *
	 * @param newTerm term that was to be reserved
	 * @param accepted whether it is reserved for the candidate
	 */
	record ReserveAnswered(long newTerm, boolean accepted) implements FailoverEvent {
	}

	/**
	 * A member has responded to a promotion.
	 *
	 * @param member name of the member
	 * @param term term of the promotion
	 * @param accepted whether the member is now the primary of the term
	 */
	record PromoteAnswered(String member, long term, boolean accepted) implements FailoverEvent {
	}

	/**
	 * The control plane has responded to a confirmation.
	 *
	 * @param term term that was to be confirmed
	 * @param accepted whether the primary of the term is confirmed
	 */
	record ConfirmAnswered(long term, boolean accepted) implements FailoverEvent {
	}

}
