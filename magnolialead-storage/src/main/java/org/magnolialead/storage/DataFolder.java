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
 * Data folder of a control daemon. An exclusive file lock keeps other processes from
 * opening the folder while it is open.
 */
public final class DataFolder implements AutoCloseable {

	private static final String LOCK_FILE = "lock";

	private static final String INCARNATION_FILE = "incarnation";

	private static final String CLUSTER_FILE = "cluster";

	private static final String VOTE_FILE = "vote";

	private static final String LOG_FILE = "log";

	private static final String SNAPSHOT_FILE = "snapshot";

	private static final String PREPARED_SNAPSHOT_FILE = "snapshot-prepared";

	private final Path folder;

	private final DurableFiles files;

	private final FileChannel lockChannel;

	private final String incarnation;

	private final VoteFile voteFile;

	private final SnapshotFile snapshotFile;

	private DurableLog log;

	private StoredState storedState;

	/**
	 * Opens a data folder, creating it if it does not exist. A folder that does not
	 * belong to a cluster gets a new incarnation.
	 * @param folder path of the folder
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the folder is in use, incomplete or corrupted
	 */
	public DataFolder(Path folder) {
		this(folder, Disk.SYSTEM);
	}

	/**
	 * Opens a data folder on a given disk, creating it if it does not exist.
	 * @param folder path of the folder
	 * @param disk writes and syncs the files
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the folder is in use, incomplete or corrupted
	 */
	public DataFolder(Path folder, Disk disk) {
		this(folder, disk, UUID.randomUUID().toString());
	}

	/**
	 * Opens a data folder on a given disk, creating it if it does not exist.
	 * @param folder path of the folder
	 * @param disk writes and syncs the files
	 * @param newIncarnation incarnation of the folder if it does not belong to a cluster
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the folder is in use, incomplete or corrupted
	 */
	public DataFolder(Path folder, Disk disk, String newIncarnation) {
		this.folder = folder;
		this.files = new DurableFiles(disk);
		this.lockChannel = lock(folder);
		try {
			this.incarnation = readOrCreateIncarnation(newIncarnation);
			this.voteFile = new VoteFile(folder.resolve(VOTE_FILE), this.files);
			this.snapshotFile = new SnapshotFile(folder.resolve(SNAPSHOT_FILE), this.files);
			load();
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Returns the identifier that this folder keeps while it belongs to a cluster.
	 * @return the incarnation
	 */
	public String incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the state that was read when the folder was opened, or with which a cluster
	 * was started in it.
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
	 * Saves and syncs the term and the vote.
	 * @param vote the vote
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void saveVote(Vote vote) {
		this.voteFile.write(vote);
	}

	/**
	 * Saves and syncs the identifier of the cluster to which this control daemon belongs.
	 * @param cluster identifier of the cluster
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void saveCluster(String cluster) {
		this.files.replaceWithChecksum(this.folder.resolve(CLUSTER_FILE), cluster.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Saves a snapshot and then replaces the log. A crash in between leaves a log with
	 * more entries than needed, which opening the folder accepts.
	 * @param snapshot the snapshot
	 * @param content the entries to keep
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if a file cannot be written
	 */
	public void saveSnapshot(ConsensusSnapshot snapshot, DurableLog.Content content) {
		this.snapshotFile.write(snapshot);
		this.log.replace(content);
	}

	/**
	 * Writes and syncs a snapshot to a separate file; the current snapshot and the log
	 * stay valid. May run concurrently with the other methods, but not with another call
	 * of this method.
	 * @param snapshot the snapshot
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void prepareSnapshot(ConsensusSnapshot snapshot) {
		new SnapshotFile(this.folder.resolve(PREPARED_SNAPSHOT_FILE), this.files).write(snapshot);
	}

	/**
	 * Replaces the current snapshot by the prepared one and then replaces the log.
	 * @param content the entries to keep
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if a file cannot be replaced
	 */
	public void installPreparedSnapshot(DurableLog.Content content) {
		this.files.move(this.folder.resolve(PREPARED_SNAPSHOT_FILE), this.folder.resolve(SNAPSHOT_FILE));
		this.log.replace(content);
	}

	/**
	 * Starts a cluster in a folder that does not belong to one. The cluster file is
	 * written last, so a crash before that leaves a folder without a cluster.
	 * @param state initial state of the voter
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the folder already belongs to a cluster or a file cannot be written
	 */
	public void startCluster(StoredState state) {
		if (Files.exists(this.folder.resolve(CLUSTER_FILE))) {
			throw StorageErrors.failure(this.folder, "already belongs to a cluster");
		}
		saveVote(state.vote());
		saveSnapshot(state.snapshot(), new DurableLog.Content(state.baseIndex(), state.baseTerm(), state.entries()));
		saveCluster(state.cluster());
		this.storedState = state;
	}

	/**
	 * Reads the folder again after a write or sync has failed, without what may not be
	 * durable. Verifies that the disk accepts writes. Can be repeated if it fails; the
	 * other methods must not be used until it has succeeded.
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if a file cannot be read or written
	 */
	public void recover() {
		this.log.discardUnsynced();
		load();
		saveVote(this.storedState.vote());
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
			channel = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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
			// Opening the folder fails in any case.
		}
	}

	private String readOrCreateIncarnation(String newIncarnation) {
		Path path = this.folder.resolve(INCARNATION_FILE);
		// A folder without a cluster gets a new incarnation each time it is opened,
		// because the files of an earlier membership may have been lost.
		if (!Files.exists(this.folder.resolve(CLUSTER_FILE))) {
			this.files.replaceWithChecksum(path, newIncarnation.getBytes(StandardCharsets.UTF_8));
		}
		if (!Files.exists(path)) {
			throw missingFile(INCARNATION_FILE);
		}
		return new String(DurableFiles.readWithChecksum(path), StandardCharsets.UTF_8);
	}

	private void load() {
		syncDirectory();
		Path cluster = this.folder.resolve(CLUSTER_FILE);
		if (!Files.exists(cluster)) {
			deleteIncompleteFiles();
			this.storedState = StoredState.empty();
			return;
		}
		Vote vote = this.voteFile.read().orElseThrow(() -> missingFile(VOTE_FILE));
		if (!Files.exists(this.folder.resolve(LOG_FILE))) {
			throw missingFile(LOG_FILE);
		}
		ConsensusSnapshot snapshot = this.snapshotFile.read().orElse(null);
		this.log = new DurableLog(this.folder.resolve(LOG_FILE), this.files);
		DurableLog.Content content = reconcile(snapshot);
		this.storedState = new StoredState(new String(DurableFiles.readWithChecksum(cluster), StandardCharsets.UTF_8),
				vote, snapshot, content.baseIndex(), content.baseTerm(), content.entries());
	}

	// A process that ended may have replaced a file without syncing the directory. The
	// new
	// file must not count before it is certain to be found after a loss of power.
	private void syncDirectory() {
		try {
			this.files.syncDirectory(this.folder);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.folder, "cannot be synced", ex);
		}
	}

	// Removes the files of an interrupted cluster start. The folder did not belong to a
	// cluster yet, so no other member depends on their content.
	private void deleteIncompleteFiles() {
		try {
			Files.deleteIfExists(this.folder.resolve(SNAPSHOT_FILE));
			Files.deleteIfExists(this.folder.resolve(LOG_FILE));
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.folder, "cannot be cleared", ex);
		}
		this.log = new DurableLog(this.folder.resolve(LOG_FILE), this.files);
		saveVote(Vote.NONE);
	}

	// Returns the log entries to use with the snapshot. If the log does not contain the
	// last entry of the snapshot, it is outdated or conflicts with the snapshot and is
	// emptied.
	private DurableLog.Content reconcile(ConsensusSnapshot snapshot) {
		DurableLog.Content content = this.log.recoveredContent();
		long snapshotIndex = (snapshot != null) ? snapshot.lastIndex() : 0;
		if (content.baseIndex() > snapshotIndex) {
			throw StorageErrors.failure(this.folder,
					"is incomplete: the log starts after index %d but the snapshot ends at %d"
						.formatted(content.baseIndex(), snapshotIndex));
		}
		if (snapshot == null || containsLastEntry(content, snapshot)) {
			return content;
		}
		DurableLog.Content empty = new DurableLog.Content(snapshotIndex, snapshot.lastTerm(), List.of());
		this.log.replace(empty);
		return empty;
	}

	private static boolean containsLastEntry(DurableLog.Content content, ConsensusSnapshot snapshot) {
		long coveredEntries = snapshot.lastIndex() - content.baseIndex();
		if (coveredEntries == 0) {
			return content.baseTerm() == snapshot.lastTerm();
		}
		return coveredEntries <= content.entries().size()
				&& content.entries().get((int) coveredEntries - 1).term() == snapshot.lastTerm();
	}

	private RuntimeException missingFile(String file) {
		return StorageErrors.failure(this.folder, "is incomplete: file " + file + " is missing");
	}

}
