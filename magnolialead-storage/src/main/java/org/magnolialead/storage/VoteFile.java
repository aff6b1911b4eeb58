package org.magnolialead.storage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.engine.consensus.Vote;

/**
 * File that stores the current term and the vote of a control daemon.
 */
public final class VoteFile {

	private final Path path;

	private final DurableFiles files;

	/**
	 * Creates the accessor of a vote file.
	 * @param path path of the file
	 */
	public VoteFile(Path path) {
		this(path, new DurableFiles(Disk.SYSTEM));
	}

	VoteFile(Path path, DurableFiles files) {
		this.path = Objects.requireNonNull(path, "path must not be null");
		this.files = files;
	}

	/**
	 * Reads the vote.
	 * @return the vote, or empty if the file does not exist
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file is corrupted or cannot be read
	 */
	public Optional<Vote> read() {
		if (!Files.exists(this.path)) {
			return Optional.empty();
		}
		return Optional.of(StoredRecords.decodeVote(this.path, DurableFiles.readWithChecksum(this.path)));
	}

	/**
	 * Replaces the vote and syncs the file.
	 * @param vote the vote
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void write(Vote vote) {
		this.files.replaceWithChecksum(this.path, StoredRecords.encode(vote));
	}

}
