package org.magnolialead.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * Single-member command log whose commits are controlled by the test.
 */
final class ManualCommandLog implements CommandLog {

	private final ControlStateMachine machine;

	private final List<Pending> pending = new ArrayList<>();

	private final List<ControlCommand> committed = new ArrayList<>();

	private boolean authority;

	private boolean commitsHeld;

	private long term;

	private long since;

	ManualCommandLog(ControlStateMachine machine) {
		this.machine = machine;
	}

	void becomeLeader(long now) {
		this.authority = true;
		this.term++;
		this.since = now;
	}

	/**
	 * Ends the leadership. Pending commands fail with an unknown outcome.
	 * @return the pending commands, which a later leader may still commit
	 */
	List<ControlCommand> loseLeadership() {
		this.authority = false;
		List<Pending> lost = List.copyOf(this.pending);
		this.pending.clear();
		lost.forEach((entry) -> entry.result()
			.completeExceptionally(new MagnolialeadException(ErrorCode.COMMAND_UNKNOWN, Step.CONTROL, "", "lost")));
		return lost.stream().map(Pending::command).toList();
	}

	void holdCommits() {
		this.commitsHeld = true;
	}

	void commitPending() {
		this.commitsHeld = false;
		while (!this.pending.isEmpty()) {
			Pending next = this.pending.remove(0);
			this.committed.add(next.command());
			next.result().complete(this.machine.apply(next.command()));
		}
	}

	List<ControlCommand> committed() {
		return this.committed;
	}

	<T extends ControlCommand> long count(Class<T> type) {
		return this.committed.stream().filter(type::isInstance).count();
	}

	@Override
	public CompletableFuture<CommandResult> submit(ControlCommand command) {
		CompletableFuture<CommandResult> result = new CompletableFuture<>();
		this.pending.add(new Pending(command, result));
		if (!this.commitsHeld) {
			commitPending();
		}
		return result;
	}

	@Override
	public boolean hasAuthority() {
		return this.authority;
	}

	@Override
	public long leaderSince() {
		return this.since;
	}

	@Override
	public Optional<String> leaderAddress() {
		return Optional.of("c1:1");
	}

	@Override
	public long term() {
		return this.term;
	}

	@Override
	public long commitIndex() {
		return this.committed.size();
	}

	@Override
	public long appliedIndex() {
		return this.committed.size();
	}

	@Override
	public List<String> voters() {
		return List.of("c1");
	}

	private record Pending(ControlCommand command, CompletableFuture<CommandResult> result) {
	}

}
