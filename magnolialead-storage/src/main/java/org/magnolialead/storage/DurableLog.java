package org.magnolialead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.magnolialead.api.message.LogEntry;

/**
 * Log file of a member. The file consists of records: a marker, the length, a CRC32C
 * checksum and a MessagePack body. The first record holds the base; each further record
 * holds the entries of one group commit, and replaces all earlier entries from its first
 * index on, so the file is only ever appended to. A record is synced before the next one
 * is written; therefore only the last record can be torn by a crash.
 *
 * <p>
 * Not thread-safe.
 */
public final class DurableLog implements AutoCloseable {

	private static final int MARKER = 0x4D4C4F47;

	private static final int HEADER_BYTES = 3 * Integer.BYTES;

	private final Path path;

	private final List<LogEntry> unsynced = new ArrayList<>();

	private final Content recovered;

	private FileChannel channel;

	/**
	 * Opens a log file, creating it if it does not exist. A torn last record is removed.
	 * @param path path of the file
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file is corrupted before its last record or cannot be accessed
	 */
	public DurableLog(Path path) {
		this.path = Objects.requireNonNull(path, "path must not be null");
		if (!Files.exists(path)) {
			SyncedFiles.replace(path, record(StoredRecords.encode(new Content(0, 0, List.of()))));
		}
		this.recovered = recover();
	}

	/**
	 * Returns what the file held when it was opened.
	 * @return the content
	 */
	public Content recovered() {
		return this.recovered;
	}

	/**
	 * Adds entries to the next group commit. Entries from the first index on that the log
	 * already holds are replaced.
	 * @param entries consecutive entries
	 */
	public void append(List<LogEntry> entries) {
		if (!this.unsynced.isEmpty()) {
			long firstIndex = entries.get(0).index();
			if (firstIndex < this.unsynced.get(0).index()) {
				this.unsynced.clear();
			}
			else {
				this.unsynced.removeIf((entry) -> entry.index() >= firstIndex);
			}
		}
		this.unsynced.addAll(entries);
	}

	/**
	 * Tells whether there are entries to sync.
	 * @return {@code true} if there are any
	 */
	public boolean hasUnsynced() {
		return !this.unsynced.isEmpty();
	}

	/**
	 * Writes the added entries as one record and syncs the file.
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written; the log must not be used any more
	 */
	public void sync() {
		if (this.unsynced.isEmpty()) {
			return;
		}
		LogEntry first = this.unsynced.get(0);
		Content content = new Content(first.index() - 1, 0, this.unsynced);
		try {
			SyncedFiles.writeFully(this.channel, record(StoredRecords.encode(content)));
			this.channel.force(false);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be written", ex);
		}
		this.unsynced.clear();
	}

	/**
	 * Replaces the whole log, for example to remove entries that a snapshot covers.
	 * @param content the new content
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void replace(Content content) {
		this.unsynced.clear();
		SyncedFiles.replace(this.path, record(StoredRecords.encode(content)));
		reopen();
	}

	@Override
	public void close() {
		if (this.channel == null) {
			return;
		}
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be closed", ex);
		}
	}

	private void reopen() {
		close();
		try {
			this.channel = FileChannel.open(this.path, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be opened", ex);
		}
	}

	private Content recover() {
		byte[] bytes = SyncedFiles.read(this.path);
		if (!isRecord(bytes, 0)) {
			throw StorageErrors.failure(this.path, "is corrupted: the first record is not valid");
		}
		Content first = body(bytes, 0);
		List<LogEntry> entries = new ArrayList<>(first.entries());
		int offset = nextRecord(bytes, 0);
		while (isRecord(bytes, offset)) {
			join(first.baseIndex(), entries, body(bytes, offset));
			offset = nextRecord(bytes, offset);
		}
		reopen();
		if (offset < bytes.length) {
			requireTornTail(bytes, offset);
			truncate(offset);
		}
		return new Content(first.baseIndex(), first.baseTerm(), entries);
	}

	private void join(long baseIndex, List<LogEntry> entries, Content next) {
		long kept = next.baseIndex() - baseIndex;
		if (kept < 0 || kept > entries.size()) {
			throw StorageErrors.failure(this.path, "is corrupted: index %d does not follow index %d"
				.formatted(next.baseIndex() + 1, baseIndex + entries.size()));
		}
		entries.subList((int) kept, entries.size()).clear();
		entries.addAll(next.entries());
	}

	private static int nextRecord(byte[] bytes, int offset) {
		return offset + HEADER_BYTES + ByteBuffer.wrap(bytes).getInt(offset + Integer.BYTES);
	}

	private void requireTornTail(byte[] bytes, int offset) {
		for (int later = offset + 1; later <= bytes.length - HEADER_BYTES; later++) {
			if (isRecord(bytes, later)) {
				throw StorageErrors.failure(this.path,
						"is corrupted: the record at byte %d is not valid but a valid record follows at byte %d"
							.formatted(offset, later));
			}
		}
	}

	private void truncate(int length) {
		try {
			this.channel.truncate(length);
			this.channel.force(true);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be truncated after a torn record", ex);
		}
	}

	private Content body(byte[] bytes, int offset) {
		int length = ByteBuffer.wrap(bytes).getInt(offset + Integer.BYTES);
		byte[] body = new byte[length];
		System.arraycopy(bytes, offset + HEADER_BYTES, body, 0, length);
		return StoredRecords.decodeContent(this.path, body);
	}

	private static boolean isRecord(byte[] bytes, int offset) {
		if (bytes.length - offset < HEADER_BYTES) {
			return false;
		}
		ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
		if (header.getInt() != MARKER) {
			return false;
		}
		int length = header.getInt();
		int checksum = header.getInt();
		return length >= 0 && length <= bytes.length - offset - HEADER_BYTES
				&& checksum == SyncedFiles.checksum(bytes, offset + HEADER_BYTES, length);
	}

	private static ByteBuffer record(byte[] body) {
		return ByteBuffer.allocate(HEADER_BYTES + body.length)
			.putInt(MARKER)
			.putInt(body.length)
			.putInt(SyncedFiles.checksum(body, 0, body.length))
			.put(body)
			.flip();
	}

	/**
	 * Consecutive entries and the position before them.
	 *
	 * @param baseIndex index of the entry before the first one
	 * @param baseTerm term of the entry before the first one
	 * @param entries the entries
	 */
	public record Content(long baseIndex, long baseTerm, List<LogEntry> entries) {

		public Content {
			entries = List.copyOf(entries);
		}
	}

}
