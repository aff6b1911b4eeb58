package org.magnolialead.daemon.control;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.engine.control.ControlState;
import org.magnolialead.engine.control.LeaseTable;
import org.magnolialead.engine.control.LeaseTiming;
import org.magnolialead.engine.control.OwnershipPlanner;

/**
 * What a leader keeps in memory during one leadership. Safe for concurrent use.
 */
final class Leadership {

	private final long term;

	private final long since;

	private final LeaseTable leases;

	private final OwnershipPlanner planner;

	private final CompletableFuture<LedgerClock> ready;

	private final Set<ControlCommand> inProgress = new HashSet<>();

	private final Set<ControlCommand> dueInProgress = new HashSet<>();

	private long forgetRequestsAt;

	Leadership(long term, long since, LeaseTiming timing, CompletableFuture<LedgerClock> ready) {
		this.term = term;
		this.since = since;
		this.leases = new LeaseTable(timing, since);
		this.planner = new OwnershipPlanner(since);
		this.ready = ready;
		this.forgetRequestsAt = since;
	}

	boolean is(long otherTerm, long otherSince) {
		return this.term == otherTerm && this.since == otherSince;
	}

	/**
	 * Completes when the first command of this leadership is applied, and with it all
	 * commands of earlier leaders. Before that, a lease could be granted to a daemon that
	 * an earlier leader's command in the log is about to forget.
	 * @return the ledger clock, which starts from the state at that point
	 */
	CompletableFuture<LedgerClock> ready() {
		return this.ready;
	}

	boolean isReady() {
		return this.ready.isDone() && !this.ready.isCompletedExceptionally();
	}

	synchronized void report(ControlState state, HeartbeatRequest request, long now) {
		for (OwnedGroupReport report : request.ownedGroups()) {
			this.planner.report(state, request.daemon(), report, now);
		}
	}

	synchronized boolean grant(HeartbeatRequest request, long now) {
		return this.leases.grant(request.daemon(), request.incarnation(), request.viewVersion(), now);
	}

	/**
	 * Returns the commands that are due and marks them as in progress. The leases of
	 * daemons to forget are suspended under the same lock that grants them.
	 * @param state source of the present state, read when no earlier command is in
	 * progress
	 * @param now present time in nanoseconds
	 * @return the commands
	 */
	synchronized List<ControlCommand> due(Supplier<ControlState> state, long now) {
		if (!this.dueInProgress.isEmpty()) {
			// The state does not show the previous decisions yet.
			return List.of();
		}
		this.leases.removeExpired(now);
		List<ControlCommand> due = this.planner.dueCommands(state.get(), this.leases, now);
		this.dueInProgress.addAll(due);
		for (ControlCommand command : due) {
			if (command instanceof ForgetDaemon forget) {
				this.leases.suspend(forget.daemon(), forget.incarnation());
			}
		}
		return due;
	}

	/**
	 * Marks a command as in progress.
	 * @param command the command
	 * @return {@code false} if an equal command is already in progress
	 */
	synchronized boolean begin(ControlCommand command) {
		return this.inProgress.add(command);
	}

	/**
	 * Ends the progress of a command whose outcome is known. A command whose outcome is
	 * unknown stays in progress, and a lease suspended for it stays suspended, until this
	 * leadership ends: it may still be applied.
	 * @param command the command
	 */
	synchronized void end(ControlCommand command) {
		this.inProgress.remove(command);
		this.dueInProgress.remove(command);
		if (command instanceof ForgetDaemon forget) {
			this.leases.resume(forget.daemon(), forget.incarnation());
		}
	}

	synchronized boolean isForgetRequestsDue(long now, long interval) {
		if (now - this.forgetRequestsAt < 0) {
			return false;
		}
		this.forgetRequestsAt = now + interval;
		return true;
	}

	synchronized Map<String, Long> confirmedVersions(long now) {
		return this.leases.confirmedVersions(now);
	}

}
