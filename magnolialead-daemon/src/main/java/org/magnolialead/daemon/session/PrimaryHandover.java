package org.magnolialead.daemon.session;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;

/**
 * Prepares the successor of a primary that leaves: demotes the primary, so that it
 * acknowledges no further writes, and waits until the successor has received its log.
 */
final class PrimaryHandover {

	/** Time to wait for a connection to the leaving primary. */
	private static final long DEMOTE_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_250);

	/** Time for the successor to receive the log that the primary had when demoted. */
	private static final long CATCH_UP_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(600);

	private static final long POLL_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

	private final SessionContext context;

	private final GroupRouter router;

	private final MemberPool leavingPrimary;

	private final MemberPool successor;

	private final BooleanSupplier isCurrent;

	private final Consumer<Outcome> handler;

	/**
	 * Creates a handover.
	 * @param context scheduling
	 * @param router members of the group
	 * @param leavingPrimary the primary
	 * @param successor the member to be promoted
	 * @param isCurrent whether the promotion attempt goes on; otherwise the handover ends
	 * silently
	 * @param handler receives the outcome once
	 */
	PrimaryHandover(SessionContext context, GroupRouter router, MemberPool leavingPrimary, MemberPool successor,
			BooleanSupplier isCurrent, Consumer<Outcome> handler) {
		this.context = context;
		this.router = router;
		this.leavingPrimary = leavingPrimary;
		this.successor = successor;
		this.isCurrent = isCurrent;
		this.handler = handler;
	}

	void start() {
		Consumer<PooledConnection> user = this::demote;
		this.leavingPrimary.acquireNext(user);
		this.context.schedule(DEMOTE_TIMEOUT_NANOSECONDS, () -> {
			if (this.leavingPrimary.cancelAcquire(user)) {
				finish(Outcome.NOT_DEMOTED);
			}
		});
	}

	private void demote(PooledConnection connection) {
		if (!this.isCurrent.getAsBoolean()) {
			connection.release();
			return;
		}
		String term = Long.toString(this.router.progress().term() + 1);
		connection.send(MemberCommand.internal(MemberCommand.Kind.DEMOTE, term), (reply) -> {
			if (reply.error() == StatementError.CONNECTION_LOST) {
				connection.discard();
			}
			else {
				connection.release();
			}
			if (this.isCurrent.getAsBoolean()) {
				demoted(reply);
			}
		});
	}

	private void demoted(StatementReply reply) {
		this.router.primaryTracker().primaryLost(this.leavingPrimary, "is leaving");
		Optional<LogPosition> target = this.context.dialer().status(reply).map(MemberStatus::received);
		StatusRequests requests = new StatusRequests(this.context);
		requests.ask(this.successor);
		long deadline = this.router.now() + CATCH_UP_TIMEOUT_NANOSECONDS;
		awaitCaughtUp(requests, target, deadline);
	}

	private void awaitCaughtUp(StatusRequests requests, Optional<LogPosition> target, long deadline) {
		this.context.schedule(POLL_INTERVAL_NANOSECONDS, () -> {
			MemberStatus status = requests.answers().get(this.successor);
			boolean caughtUp = status != null && status.received().includes(target.orElse(LogPosition.NONE));
			if (caughtUp) {
				requests.close();
				finish(target.isPresent() ? Outcome.CAUGHT_UP : Outcome.POSITION_UNKNOWN);
			}
			else if (!this.isCurrent.getAsBoolean() || this.router.now() - deadline >= 0) {
				requests.close();
				finish(Outcome.NOT_CAUGHT_UP);
			}
			else {
				if (status != null) {
					requests.ask(this.successor);
				}
				awaitCaughtUp(requests, target, deadline);
			}
		});
	}

	private void finish(Outcome outcome) {
		if (this.isCurrent.getAsBoolean()) {
			this.handler.accept(outcome);
		}
	}

	/**
	 * Outcome of a handover.
	 */
	enum Outcome {

		/** The successor holds everything that the primary has acknowledged. */
		CAUGHT_UP("successor has received the log of the leaving primary"),
		/** The primary could not be reached and may acknowledge further writes. */
		NOT_DEMOTED("leaving primary cannot be demoted"),
		/** The primary did not state its position, so the successor may be behind. */
		POSITION_UNKNOWN("leaving primary did not state its position"),
		/** The successor is behind the former primary. */
		NOT_CAUGHT_UP("successor has not received the log of the leaving primary");

		private final String description;

		Outcome(String description) {
			this.description = description;
		}

		/**
		 * Tells whether the successor certainly holds all acknowledged commits.
		 * @return {@code true} if it does
		 */
		boolean isComplete() {
			return this == CAUGHT_UP;
		}

		@Override
		public String toString() {
			return this.description;
		}

	}

}
