package org.magnolialead.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;

/**
 * Commands of callers that wait to be proposed, or are proposed and wait to be applied.
 * All methods except {@link #offer(byte[])}, {@link #isEmpty()} and
 * {@link #rejectWaiting(MagnolialeadException)} must be called on the thread of the log.
 */
final class PendingCommands {

	private static final int QUEUE_CAPACITY = 10_000;

	private static final int MAXIMUM_BATCH_COMMANDS = 1_000;

	/** Limits the duration of one sync so that heartbeats are not delayed, in bytes. */
	private static final long MAXIMUM_BATCH_BYTES = 4 * 1024 * 1024;

	private final BlockingQueue<Proposal> waiting = new LinkedBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong waitingBytes = new AtomicLong();

	private final long maximumWaitingBytes;

	private final Map<Long, Proposal> proposedByIndex = new HashMap<>();

	private final List<Runnable> completions = new ArrayList<>();

	/**
	 * Creates an empty queue.
	 * @param maximumWaitingBytes maximum size in bytes of the commands that wait to be
	 * proposed
	 */
	PendingCommands(long maximumWaitingBytes) {
		this.maximumWaitingBytes = maximumWaitingBytes;
	}

	/**
	 * Adds a command to the queue.
	 * @param command the encoded command
	 * @return a future of its result, which has failed with code {@code OVERLOADED} if
	 * the queue is full
	 */
	CompletableFuture<CommandResult> offer(byte[] command) {
		Proposal proposal = new Proposal(command, new CompletableFuture<>());
		boolean fits = this.waitingBytes.addAndGet(command.length) <= this.maximumWaitingBytes;
		if (!fits || !this.waiting.offer(proposal)) {
			this.waitingBytes.addAndGet(-command.length);
			return CompletableFuture.failedFuture(new MagnolialeadException(ErrorCode.OVERLOADED, Step.CONTROL, "",
					"the queue of the control log is full: %d commands of %d bytes are waiting"
						.formatted(this.waiting.size(), this.waitingBytes.get())));
		}
		return proposal.result();
	}

	boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	/**
	 * Removes commands from the queue that share one sync.
	 * @return the commands in order; empty if none is waiting
	 */
	List<Proposal> takeBatch() {
		List<Proposal> batch = new ArrayList<>();
		long bytes = 0;
		while (batch.size() < MAXIMUM_BATCH_COMMANDS && bytes < MAXIMUM_BATCH_BYTES) {
			Proposal proposal = this.waiting.poll();
			if (proposal == null) {
				break;
			}
			bytes += proposal.command().length;
			this.waitingBytes.addAndGet(-proposal.command().length);
			batch.add(proposal);
		}
		return batch;
	}

	/**
	 * Records that a batch was appended to the log.
	 * @param firstIndex index of its first command
	 * @param batch the batch
	 */
	void proposed(long firstIndex, List<Proposal> batch) {
		for (int position = 0; position < batch.size(); position++) {
			this.proposedByIndex.put(firstIndex + position, batch.get(position));
		}
	}

	void reject(List<Proposal> batch, MagnolialeadException cause) {
		batch.forEach((proposal) -> this.completions.add(() -> proposal.result().completeExceptionally(cause)));
	}

	void applied(long index, CommandResult result) {
		Proposal proposal = this.proposedByIndex.remove(index);
		if (proposal != null) {
			this.completions.add(() -> proposal.result().complete(result));
		}
	}

	/**
	 * Fails the proposed commands, because this member no longer learns whether they are
	 * committed.
	 */
	void failProposed() {
		this.proposedByIndex.values()
			.forEach((proposal) -> this.completions.add(() -> proposal.result()
				.completeExceptionally(new MagnolialeadException(ErrorCode.COMMAND_UNKNOWN, Step.CONTROL, "",
						"leadership was lost before the command was committed"))));
		this.proposedByIndex.clear();
	}

	/**
	 * Fails the commands that were not proposed.
	 * @param cause the error
	 */
	void rejectWaiting(MagnolialeadException cause) {
		List<Proposal> rejected = new ArrayList<>();
		this.waiting.drainTo(rejected);
		rejected.forEach((proposal) -> {
			this.waitingBytes.addAndGet(-proposal.command().length);
			proposal.result().completeExceptionally(cause);
		});
	}

	/**
	 * Completes the futures of finished commands. Callbacks of callers run on another
	 * thread because they may block.
	 */
	void runCompletions() {
		if (this.completions.isEmpty()) {
			return;
		}
		List<Runnable> batch = List.copyOf(this.completions);
		this.completions.clear();
		CompletableFuture.runAsync(() -> batch.forEach(Runnable::run));
	}

	/**
	 * Command with the future of its result.
	 *
	 * @param command the encoded command
	 * @param result completed once the command is applied or has failed
	 */
	record Proposal(byte[] command, CompletableFuture<CommandResult> result) {

		Proposal {
			Objects.requireNonNull(command, "command must not be null");
			Objects.requireNonNull(result, "result must not be null");
		}

	}

}
