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
 * Operations on the replicated state that any control daemon offers. Operations that
 * require the leader are forwarded to it.
 */
public final class ControlOperations {

	/**
	 * Timeout of one attempt, so that a failed leader is detected before the deadline.
	 */
	private static final long ATTEMPT_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long RETRY_DELAY_MILLISECONDS = 50;

	private final ControlController controller;

	private final CommandLog log;

	private final ControlStateMachine machine;

	private final PeerClient client;

	private final MonotonicClock clock;

	private final ScheduledExecutorService timer;

	private final int minimumVoters;

	ControlOperations(ControlController controller, CommandLog log, ControlStateMachine machine, PeerClient client,
			MonotonicClock clock, ScheduledExecutorService timer, int minimumVoters) {
		this.controller = controller;
		this.log = log;
		this.machine = machine;
		this.client = client;
		this.clock = clock;
		this.timer = timer;
		this.minimumVoters = minimumVoters;
	}

	/**
	 * Returns the state that this daemon has applied. It contains only committed changes
	 * but may lack the latest ones.
	 * @return the view
	 */
	public FleetView appliedView() {
		return this.machine.state().view();
	}

	/**
	 * Returns whether enough control daemons replicate the committed changes. A newly
	 * initialized cluster has a single voter, and losing it would lose every change.
	 * @return {@code true} if changes may be accepted
	 */
	public boolean hasRequiredVoters() {
		return this.log.voters().size() >= this.minimumVoters;
	}

	/**
	 * Returns the peer address of the leader.
	 * @return the address, or empty if none is known
	 */
	public Optional<String> leaderAddress() {
		return this.log.leaderAddress();
	}

	/**
	 * Returns a state that includes every change acknowledged before this call.
	 * @return the fleet view; fails with {@code NOT_LEADER} unless this daemon is the
	 * leader
	 */
	public CompletableFuture<FleetView> confirmedView() {
		return this.controller.confirmedView();
	}

	/**
	 * Submits a command until its result is known or the timeout expires. The command
	 * must be safe to apply more than once.
	 * @param command the command
	 * @param timeoutMilliseconds time in milliseconds after which no further attempt is
	 * made
	 * @return the result; fails with {@code COMMAND_UNKNOWN} if it is not known when the
	 * timeout expires
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
