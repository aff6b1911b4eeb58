package org.magnolialead.daemon.control;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.magnolialead.api.AccountTable;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.message.QuotaRequest;
import org.magnolialead.engine.control.ControlState;
import org.magnolialead.engine.control.LeaseTable;
import org.magnolialead.engine.control.OwnershipPlanner;
import org.magnolialead.engine.quota.QuotaAllocator;

/**
 * In-memory state of the leader during one leadership. Safe for concurrent use.
 */
final class Leadership {

	private final long term;

	private final long since;

	private final LeaseTable leases;

	private final OwnershipPlanner planner;

	private final QuotaAllocator quotas;

	private final CompletableFuture<LedgerClock> ready;

	private final Set<ControlCommand> commandsInProgress = new HashSet<>();

	private final Set<ControlCommand> dueCommandsInProgress = new HashSet<>();

	private long forgetRequestsDueAt;

	Leadership(long term, long since, ControlSettings settings, CompletableFuture<LedgerClock> ready) {
		this.term = term;
		this.since = since;
		this.leases = new LeaseTable(settings.leaseTiming(), since);
		this.planner = new OwnershipPlanner(since);
		this.quotas = new QuotaAllocator(since, settings.rateLimitTolerance());
		this.ready = ready;
		this.forgetRequestsDueAt = since;
	}

	boolean matches(long otherTerm, long otherSince) {
		return this.term == otherTerm && this.since == otherSince;
	}

	/**
	 * Completes when the first command of this leadership, and with it all commands of
	 * earlier leaders, is applied. Before that, a lease could be granted to a daemon that
	 * a command of an earlier leader in the log is about to forget.
	 * @return the ledger clock, initialized from the state at that point
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

	synchronized List<QuotaGrant> grantTokens(QuotaRequest request, ControlState state, long now) {
		AccountTable accounts = state.configuration().routes().accounts();
		return this.quotas.allocate(request, accounts, state.daemons().size(), now);
	}

	synchronized boolean grant(HeartbeatRequest request, long now) {
		this.quotas.heard(request.daemon(), request.incarnation(), now);
		return this.leases.grant(request.daemon(), request.incarnation(), request.viewVersion(), now);
	}

	/**
	 * Returns the commands that are due and marks them as in progress. Suspends the
	 * leases of daemons that are to be forgotten, under the same lock that guards
	 * granting leases.
	 * @param state supplier of the current state; called only if no earlier due command
	 * is in progress
	 * @param now current monotonic time in nanoseconds
	 * @return the commands
	 */
	synchronized List<ControlCommand> due(Supplier<ControlState> state, long now) {
		if (!this.dueCommandsInProgress.isEmpty()) {
			// The state does not reflect the previous decisions yet.
			return List.of();
		}
		this.leases.removeExpired(now);
		List<ControlCommand> due = this.planner.dueCommands(state.get(), this.leases, now);
		this.dueCommandsInProgress.addAll(due);
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
	synchronized boolean markInProgress(ControlCommand command) {
		return this.commandsInProgress.add(command);
	}

	/**
	 * Marks a command whose outcome is known as no longer in progress, and resumes a
	 * lease that was suspended for it. A command whose outcome is unknown may still be
	 * applied, so it stays in progress, and its lease suspended, until this leadership
	 * ends.
	 * @param command the command
	 */
	synchronized void markFinished(ControlCommand command) {
		this.commandsInProgress.remove(command);
		this.dueCommandsInProgress.remove(command);
		if (command instanceof ForgetDaemon forget) {
			this.leases.resume(forget.daemon(), forget.incarnation());
		}
	}

	synchronized boolean isForgetRequestsDue(long now, long interval) {
		if (now - this.forgetRequestsDueAt < 0) {
			return false;
		}
		this.forgetRequestsDueAt = now + interval;
		return true;
	}

	synchronized Map<String, Long> confirmedVersions(long now) {
		return this.leases.confirmedVersions(now);
	}

}
