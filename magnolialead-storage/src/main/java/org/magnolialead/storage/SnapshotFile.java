package org.magnolialead.storage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.engine.consensus.ConsensusSnapshot;

/**
 * File that stores a snapshot of the replicated state.
 */
public final class SnapshotFile {

	private final Path path;

	private final DurableFiles files;

	/**
	 * Creates the accessor of a snapshot file.
	 * @param path path of the file
	 */
	public SnapshotFile(Path path) {
		this(path, new DurableFiles(Disk.SYSTEM));
	}

	SnapshotFile(Path path, DurableFiles files) {
		this.path = Objects.requireNonNull(path, "path must not be null");
		this.files = files;
	}

	/**
	 * Reads the snapshot.
	 * @return the snapshot, or empty if the file does not exist
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file is corrupted or cannot be read
	 */
	public Optional<ConsensusSnapshot> read() {
		if (!Files.exists(this.path)) {
			return Optional.empty();
		}
		return Optional.of(StoredRecords.decodeSnapshot(this.path, DurableFiles.readWithChecksum(this.path)));
	}

	/**
	 * Replaces the snapshot and syncs the file.
	 * @param snapshot the snapshot
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void write(ConsensusSnapshot snapshot) {
		this.files.replaceWithChecksum(this.path, StoredRecords.encode(snapshot));
	}

}
