package org.magnolialead.daemon;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.daemon.control.CommandLog;
import org.magnolialead.daemon.control.ControlController;
import org.magnolialead.daemon.control.ControlStateMachine;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Operations on the replicated state that any control daemon offers. What only the leader
 * can do is passed on to it.
 */
public final class ControlOperations {

	/** Time for one attempt, so that a leader that fails is noticed. */
	private static final long ATTEMPT_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long RETRY_DELAY_MILLISECONDS = 50;

	/** Voters that a new group needs before it accepts anything. */
	private static final int MINIMUM_VOTERS = 3;

	private final ControlController controller;

	private final CommandLog log;

	private final ControlStateMachine machine;

	private final PeerClient client;

	private final MonotonicClock clock;

	private final ScheduledExecutorService timer;

	private final int minimumVoters;

	ControlOperations(ControlController controller, CommandLog log, ControlStateMachine machine, PeerClient client,
			MonotonicClock clock, ScheduledExecutorService timer, int knownDaemons) {
		this.controller = controller;
		this.log = log;
		this.machine = machine;
		this.client = client;
		this.clock = clock;
		this.timer = timer;
		this.minimumVoters = Math.min(MINIMUM_VOTERS, knownDaemons);
	}

	/**
	 * Returns the state that this daemon has applied. Everything in it is committed, but
	 * later changes may be missing.
	 * @return the view
	 */
	public FleetView appliedView() {
		return this.machine.state().view();
	}

	/**
	 * Tells whether enough control daemons hold what is committed. A group that has just
	 * been started has a single member, with which everything would be lost.
	 * @return {@code true} if changes may be accepted
	 */
	public boolean hasRequiredVoters() {
		return this.log.voters().size() >= this.minimumVoters;
	}

	/**
	 * Returns the address of the leader for the peer protocol.
	 * @return the address, or empty if none is known
	 */
	public Optional<String> leaderAddress() {
		return this.log.leaderAddress();
	}

	/**
	 * Returns the state with everything acknowledged before this call.
	 * @return the view; fails unless this daemon leads
	 */
	public CompletableFuture<FleetView> confirmedView() {
		return this.controller.confirmedView();
	}

	/**
	 * Commits a command that may be applied more than once.
	 * @param command the command
	 * @param timeoutMilliseconds time in milliseconds after which it is given up
	 * @return the result; fails with {@code COMMAND_UNKNOWN} if it is not known
	 */
	public CompletableFuture<CommandResult> submit(ControlCommand command, long timeoutMilliseconds) {
		CompletableFuture<CommandResult> result = new CompletableFuture<>();
		long deadline = this.clock.nanoseconds() + TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds);
		attempt(command, deadline, result);
		return result;
	}

	private void attempt(ControlCommand command, long deadline, CompletableFuture<CommandResult> result) {
		long now = this.clock.nanoseconds();
		if (deadline - now <= 0) {
			result.completeExceptionally(new MagnolialeadException(ErrorCode.COMMAND_UNKNOWN, Step.CONTROL,
					this.log.leaderAddress().orElse(""), "no control leader answered before the deadline"));
			return;
		}
		send(new SubmitCommandRequest(command), now + Math.min(ATTEMPT_TIMEOUT_NANOSECONDS, deadline - now))
			.whenComplete((answer, failure) -> {
				if (answer instanceof SubmitCommandAnswer submitted && submitted.result() != null) {
					result.complete(submitted.result());
				}
				else {
					this.timer.schedule(() -> attempt(command, deadline, result), RETRY_DELAY_MILLISECONDS,
							TimeUnit.MILLISECONDS);
				}
			});
	}

	private CompletableFuture<Object> send(SubmitCommandRequest request, long deadline) {
		if (this.log.hasAuthority()) {
			long remaining = Math.max(1, deadline - this.clock.nanoseconds());
			return this.controller.submit(request)
				.thenApply((answer) -> (Object) answer)
				.orTimeout(remaining, TimeUnit.NANOSECONDS);
		}
		Optional<String> leader = this.log.leaderAddress();
		if (leader.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.client.request(leader.get(), request, deadline);
	}

}
