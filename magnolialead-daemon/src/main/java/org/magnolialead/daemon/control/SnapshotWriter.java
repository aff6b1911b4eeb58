package org.magnolialead.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.consensus.ConsensusSnapshot;
import org.magnolialead.engine.consensus.SnapshotPosition;
import org.magnolialead.storage.DataFolder;

/**
 * Encodes and writes snapshots on a thread of its own. With a million records this takes
 * seconds. On the thread of the log it would delay heartbeats until the leader loses its
 * authority. All methods must be called on the thread of the log.
 */
final class SnapshotWriter {

	private static final System.Logger LOGGER = System.getLogger(SnapshotWriter.class.getName());

	/** Delay before a snapshot that could not be written is written again. */
	private static final long RETRY_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private final String daemon;

	private final DataFolder folder;

	private final MonotonicClock clock;

	private final ExecutorService executor;

	private boolean inProgress;

	private long nextAttemptAt;

	SnapshotWriter(String daemon, DataFolder folder, MonotonicClock clock) {
		this.daemon = daemon;
		this.folder = folder;
		this.clock = clock;
		this.nextAttemptAt = clock.nanoseconds();
		this.executor = Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "control-snapshot-" + daemon);
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Tells whether a snapshot may be started.
	 * @return {@code false} while one is in progress, or shortly after one has failed
	 */
	boolean mayStart() {
		return !this.inProgress && this.clock.nanoseconds() - this.nextAttemptAt >= 0;
	}

	/**
	 * Starts to write a snapshot to the prepared file.
	 * @param position log position of the state
	 * @param encoder encodes the state
	 * @param logThread runs the handler
	 * @param written receives the snapshot once it is synced; not called if that fails
	 */
	void start(SnapshotPosition position, Supplier<byte[]> encoder, Executor logThread,
			Consumer<ConsensusSnapshot> written) {
		this.inProgress = true;
		CompletableFuture.supplyAsync(() -> write(position, encoder), this.executor)
			.whenCompleteAsync((snapshot, cause) -> finished(snapshot, cause, written), logThread);
	}

	private ConsensusSnapshot write(SnapshotPosition position, Supplier<byte[]> encoder) {
		ConsensusSnapshot snapshot = position.with(encoder.get());
		this.folder.prepareSnapshot(snapshot);
		return snapshot;
	}

	private void finished(ConsensusSnapshot snapshot, Throwable cause, Consumer<ConsensusSnapshot> written) {
		this.inProgress = false;
		if (cause != null) {
			LogEvent.CONTROL_SNAPSHOT_FAILED.log(LOGGER, cause, this.daemon);
			this.nextAttemptAt = this.clock.nanoseconds() + RETRY_NANOSECONDS;
			return;
		}
		written.accept(snapshot);
	}

	void shutDown() {
		this.executor.shutdown();
	}

	/**
	 * Waits until a snapshot in progress has ended.
	 * @param seconds maximum time to wait in seconds
	 * @return {@code false} if it has not ended in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean awaitEnd(long seconds) throws InterruptedException {
		return this.executor.awaitTermination(seconds, TimeUnit.SECONDS);
	}

}
