package org.magnolialead.daemon.session;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.magnolialead.engine.session.ReplicationTerm;

/**
 * Prepares the successor of a primary that can still be reached: demotes the primary, so
 * that it acknowledges no further writes, and waits until the successor has received its
 * log.
 */
final class PrimaryHandover {

	/** Time for the primary to state that it is a replica. */
	private static final long DEMOTE_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_250);

	/** Time for the successor to receive the log that the primary had when demoted. */
	private static final long CATCH_UP_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(600);

	private static final long DEMOTE_POLL_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long CATCH_UP_POLL_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(50);

	private final SessionContext context;

	private final GroupRouter router;

	private final MemberPool formerPrimary;

	private final MemberPool successor;

	private final BooleanSupplier isCurrent;

	private final Consumer<Outcome> handler;

	/**
	 * Creates a handover.
	 * @param context scheduling
	 * @param router members of the group
	 * @param formerPrimary the primary
	 * @param successor the member to be promoted
	 * @param isCurrent whether the promotion attempt goes on; otherwise the handover ends
	 * silently
	 * @param handler receives the outcome once
	 */
	PrimaryHandover(SessionContext context, GroupRouter router, MemberPool formerPrimary, MemberPool successor,
			BooleanSupplier isCurrent, Consumer<Outcome> handler) {
		this.context = context;
		this.router = router;
		this.formerPrimary = formerPrimary;
		this.successor = successor;
		this.isCurrent = isCurrent;
		this.handler = handler;
	}

	/**
	 * Demotes the primary.
	 * @param newestTerm newest term that the members have stated; the primary may lead a
	 * newer one
	 */
	void start(ReplicationTerm newestTerm) {
		StatusRequests demotion = new StatusRequests(this.context, StatusCommand.DEMOTE, newestTerm);
		demotion.ask(this.formerPrimary);
		awaitDemoted(demotion, this.router.now() + DEMOTE_TIMEOUT_NANOSECONDS);
	}

	private void awaitDemoted(StatusRequests demotion, long deadline) {
		this.context.schedule(DEMOTE_POLL_INTERVAL_NANOSECONDS, () -> {
			MemberStatus status = demotion.answers().get(this.formerPrimary);
			if (status != null) {
				demotion.close();
				demoted(status);
			}
			else if (!this.isCurrent.getAsBoolean() || this.router.now() - deadline >= 0) {
				demotion.close();
				finish(Outcome.NOT_DEMOTED);
			}
			else {
				awaitDemoted(demotion, deadline);
			}
		});
	}

	private void demoted(MemberStatus status) {
		if (!this.isCurrent.getAsBoolean()) {
			return;
		}
		this.router.primaryTracker().primaryLost(this.formerPrimary, "demoted");
		StatusRequests requests = new StatusRequests(this.context, StatusCommand.STATUS, status.term());
		requests.ask(this.successor);
		awaitCaughtUp(requests, status, this.router.now() + CATCH_UP_TIMEOUT_NANOSECONDS);
	}

	private void awaitCaughtUp(StatusRequests requests, MemberStatus demoted, long deadline) {
		this.context.schedule(CATCH_UP_POLL_INTERVAL_NANOSECONDS, () -> {
			MemberStatus status = requests.answers().get(this.successor);
			if (status != null && status.term().compareTo(demoted.term()) > 0) {
				requests.close();
				finish(Outcome.OUTDATED);
			}
			else if (status != null && status.received().includes(demoted.received())) {
				requests.close();
				finish(Outcome.CAUGHT_UP);
			}
			else if (!this.isCurrent.getAsBoolean() || this.router.now() - deadline >= 0) {
				requests.close();
				finish(Outcome.NOT_CAUGHT_UP);
			}
			else {
				awaitCaughtUp(askAgain(requests, status), demoted, deadline);
			}
		});
	}

	// An earlier attempt may have paused the successor. Nobody else receives commits of
	// the former primary, which is a replica now.
	private StatusRequests askAgain(StatusRequests requests, MemberStatus status) {
		if (status == null) {
			return requests;
		}
		if (!status.isPaused()) {
			requests.ask(this.successor);
			return requests;
		}
		requests.close();
		StatusRequests resumption = new StatusRequests(this.context, StatusCommand.RESUME, status.term());
		resumption.ask(this.successor);
		return resumption;
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
		CAUGHT_UP("successor has received the log of the former primary"),
		/** The primary did not state that it is a replica. It may acknowledge writes. */
		NOT_DEMOTED("former primary was not demoted"),
		/** A member was promoted while the successor was receiving the log. */
		OUTDATED("successor states a newer term"),
		/** The successor is behind the former primary. */
		NOT_CAUGHT_UP("successor has not received the log of the former primary");

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
