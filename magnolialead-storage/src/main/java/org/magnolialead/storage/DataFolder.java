package org.magnolialead.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;

import org.magnolialead.engine.consensus.ConsensusSnapshot;
import org.magnolialead.engine.consensus.StoredState;
import org.magnolialead.engine.consensus.Vote;

/**
 * Data folder of a control daemon. While it is open, no other process can open it.
 */
public final class DataFolder implements AutoCloseable {

	private static final String LOCK = "lock";

	private static final String INCARNATION = "incarnation";

	private static final String CLUSTER = "cluster";

	private static final String VOTE = "vote";

	private static final String LOG = "log";

	private static final String SNAPSHOT = "snapshot";

	private static final String PREPARED_SNAPSHOT = "snapshot-prepared";

	private final Path folder;

	private final FileChannel lockChannel;

	private final String incarnation;

	private final VoteFile voteFile;

	private final SnapshotFile snapshotFile;

	private DurableLog log;

	private StoredState storedState;

	/**
	 * Opens a data folder, creating it if it does not exist. A folder that belongs to no
	 * cluster gets a new incarnation.
	 * @param folder path of the folder
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the folder is in use, incomplete or corrupted
	 */
	public DataFolder(Path folder) {
		this.folder = folder;
		this.lockChannel = lock(folder);
		try {
			this.incarnation = readOrCreateIncarnation();
			this.voteFile = new VoteFile(folder.resolve(VOTE));
			this.snapshotFile = new SnapshotFile(folder.resolve(SNAPSHOT));
			load();
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Returns the random identifier of this folder.
	 * @return the incarnation
	 */
	public String incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the state that the folder held when it was opened or when a cluster was
	 * started in it.
	 * @return the state
	 */
	public StoredState storedState() {
		return this.storedState;
	}

	/**
	 * Returns the log.
	 * @return the log
	 */
	public DurableLog log() {
		return this.log;
	}

	/**
	 * Saves the term and the vote.
	 * @param vote the vote
	 */
	public void saveVote(Vote vote) {
		this.voteFile.write(vote);
	}

	/**
	 * Records that this member belongs to a cluster.
	 * @param cluster identifier of the cluster
	 */
	public void saveCluster(String cluster) {
		SyncedFiles.replaceWithChecksum(this.folder.resolve(CLUSTER), cluster.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Saves a snapshot and then replaces the log. A crash in between leaves a log with
	 * more entries than needed, which {@link #storedState()} accepts.
	 * @param snapshot the snapshot
	 * @param content the entries to keep
	 */
	public void saveSnapshot(ConsensusSnapshot snapshot, DurableLog.Content content) {
		this.snapshotFile.write(snapshot);
		this.log.replace(content);
	}

	/**
	 * Writes and syncs a snapshot without putting it in force, so that the present
	 * snapshot and the log stay valid. May run on another thread than the other methods,
	 * one call at a time.
	 * @param snapshot the snapshot
	 */
	public void prepareSnapshot(ConsensusSnapshot snapshot) {
		new SnapshotFile(this.folder.resolve(PREPARED_SNAPSHOT)).write(snapshot);
	}

	/**
	 * Puts the prepared snapshot in force and then replaces the log.
	 * @param content the entries to keep
	 */
	public void installPreparedSnapshot(DurableLog.Content content) {
		SyncedFiles.move(this.folder.resolve(PREPARED_SNAPSHOT), this.folder.resolve(SNAPSHOT));
		this.log.replace(content);
	}

	/**
	 * Starts a cluster in a folder that belongs to none. The cluster file is written
	 * last, so a crash before that leaves a folder that belongs to no cluster.
	 * @param state state of the only voter
	 */
	public void startCluster(StoredState state) {
		if (Files.exists(this.folder.resolve(CLUSTER))) {
			throw StorageErrors.failure(this.folder, "already belongs to a cluster");
		}
		saveVote(state.vote());
		saveSnapshot(state.snapshot(), new DurableLog.Content(state.baseIndex(), state.baseTerm(), state.entries()));
		saveCluster(state.cluster());
		this.storedState = state;
	}

	@Override
	public void close() {
		try {
			if (this.log != null) {
				this.log.close();
			}
			this.lockChannel.close();
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.folder, "cannot be closed", ex);
		}
	}

	private static FileChannel lock(Path folder) {
		FileChannel channel = null;
		try {
			Files.createDirectories(folder);
			channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
			FileLock lock = channel.tryLock();
			if (lock != null) {
				return channel;
			}
			channel.close();
		}
		catch (OverlappingFileLockException ex) {
			closeQuietly(channel);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(folder, "cannot be locked", ex);
		}
		throw StorageErrors.failure(folder, "is in use by another process");
	}

	private static void closeQuietly(FileChannel channel) {
		try {
			channel.close();
		}
		catch (IOException ex) {
			// The folder is refused in any case.
		}
	}

	private String readOrCreateIncarnation() {
		Path path = this.folder.resolve(INCARNATION);
		// A folder without a cluster gets a new incarnation each time, because the
		// files of its earlier membership may have been lost.
		if (!Files.exists(this.folder.resolve(CLUSTER))) {
			SyncedFiles.replaceWithChecksum(path, UUID.randomUUID().toString().getBytes(StandardCharsets.UTF_8));
		}
		if (!Files.exists(path)) {
			throw missing(INCARNATION);
		}
		return new String(SyncedFiles.readWithChecksum(path), StandardCharsets.UTF_8);
	}

	private void load() {
		Path cluster = this.folder.resolve(CLUSTER);
		if (!Files.exists(cluster)) {
			clear();
			this.storedState = StoredState.empty();
			return;
		}
		Vote vote = this.voteFile.read().orElseThrow(() -> missing(VOTE));
		if (!Files.exists(this.folder.resolve(LOG))) {
			throw missing(LOG);
		}
		ConsensusSnapshot snapshot = this.snapshotFile.read().orElse(null);
		this.log = new DurableLog(this.folder.resolve(LOG));
		DurableLog.Content content = reconcile(snapshot);
		this.storedState = new StoredState(new String(SyncedFiles.readWithChecksum(cluster), StandardCharsets.UTF_8), vote,
				snapshot, content.baseIndex(), content.baseTerm(), content.entries());
	}

	// Files of a start that was interrupted before the folder belonged to a cluster are
	// removed, because no other member knows of them.
	private void clear() {
		try {
			Files.deleteIfExists(this.folder.resolve(SNAPSHOT));
			Files.deleteIfExists(this.folder.resolve(LOG));
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.folder, "cannot be cleared", ex);
		}
		this.log = new DurableLog(this.folder.resolve(LOG));
		saveVote(Vote.NONE);
	}

	private DurableLog.Content reconcile(ConsensusSnapshot snapshot) {
		DurableLog.Content content = this.log.recovered();
		long snapshotIndex = (snapshot != null) ? snapshot.lastIndex() : 0;
		if (content.baseIndex() > snapshotIndex) {
			throw StorageErrors.failure(this.folder,
					"is incomplete: the log starts after index %d but the snapshot ends at %d"
						.formatted(content.baseIndex(), snapshotIndex));
		}
		if (snapshot == null || holds(content, snapshot)) {
			return content;
		}
		DurableLog.Content empty = new DurableLog.Content(snapshotIndex, snapshot.lastTerm(), List.of());
		this.log.replace(empty);
		return empty;
	}

	private static boolean holds(DurableLog.Content content, ConsensusSnapshot snapshot) {
		long position = snapshot.lastIndex() - content.baseIndex();
		if (position == 0) {
			return content.baseTerm() == snapshot.lastTerm();
		}
		return position <= content.entries().size()
				&& content.entries().get((int) position - 1).term() == snapshot.lastTerm();
	}

	private RuntimeException missing(String file) {
		return StorageErrors.failure(this.folder, "is incomplete: file " + file + " is missing");
	}

}
