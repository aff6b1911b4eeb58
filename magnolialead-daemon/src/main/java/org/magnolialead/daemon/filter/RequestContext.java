package org.magnolialead.daemon.filter;

import java.util.Objects;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Profile;
import org.magnolialead.api.StatementKind;
import org.magnolialead.transport.http.HttpServerRequest;

/**
 * Request with the attributes that the filters have determined so far.
 *
 * @param request the HTTP request
 * @param group name of the database group
 * @param kind kind of the request
 * @param transaction identifier of the transaction, or an empty string
 * @param idempotencyKey idempotency key, or an empty string
 * @param view fleet view that applies to the whole request, or {@code null} before the
 * profile filter
 * @param profile profile of the request, or {@code null} before the profile filter
 * @param deadline time of the monotonic clock in nanoseconds at which the caller stops
 * waiting; time of receipt before the deadline filter
 * @param session session with the positions of the caller's token;
 * {@link SessionToken#NONE} before the session filter and without a session
 */
public record RequestContext(HttpServerRequest request, String group, StatementKind kind, String transaction,
		String idempotencyKey, FleetView view, Profile profile, long deadline, SessionToken session) {

	public RequestContext {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(transaction, "transaction must not be null");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey must not be null");
		Objects.requireNonNull(session, "session must not be null");
	}

	/**
	 * Returns the context of a request that no filter has processed yet.
	 * @param request the HTTP request
	 * @param group name of the database group
	 * @param kind kind of the request
	 * @param transaction identifier of the transaction, or an empty string
	 * @return the context
	 */
	public static RequestContext received(HttpServerRequest request, String group, StatementKind kind,
			String transaction) {
		String key = request.header(RequestHeaders.IDEMPOTENCY_KEY).orElse("");
		return new RequestContext(request, group, kind, transaction, key, null, null, request.receivedAt(),
				SessionToken.NONE);
	}

	/**
	 * Returns a copy with the fleet view and the profile.
	 * @param fleetView fleet view that applies to the request
	 * @param requestProfile profile of the request
	 * @return the copy
	 */
	public RequestContext withProfile(FleetView fleetView, Profile requestProfile) {
		return new RequestContext(this.request, this.group, this.kind, this.transaction, this.idempotencyKey, fleetView,
				requestProfile, this.deadline, this.session);
	}

	/**
	 * Returns a copy with the deadline.
	 * @param monotonicDeadline time of the monotonic clock in nanoseconds at which the
	 * caller stops waiting
	 * @return the copy
	 */
	public RequestContext withDeadline(long monotonicDeadline) {
		return new RequestContext(this.request, this.group, this.kind, this.transaction, this.idempotencyKey, this.view,
				this.profile, monotonicDeadline, this.session);
	}

	/**
	 * Returns a copy with the session.
	 * @param token the session and its positions
	 * @return the copy
	 */
	public RequestContext withSession(SessionToken token) {
		return new RequestContext(this.request, this.group, this.kind, this.transaction, this.idempotencyKey, this.view,
				this.profile, this.deadline, token);
	}

	/**
	 * Returns the position that the session has reached in the group of this request.
	 * @return the position, or {@link LogPosition#NONE}
	 */
	public LogPosition sessionPosition() {
		return this.session.position(this.group);
	}

}
