package org.magnolialead.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;

import org.magnolialead.api.message.LogEntry;

/**
 * Append-only log file of a control daemon. The file is a sequence of records, each
 * consisting of a marker, the length of the body, a CRC32C checksum and a MessagePack
 * body. The first record contains the base position. Each further record contains the
 * entries of one group commit and supersedes all earlier entries from its first index on.
 * A record is synced before the next one is written, so a crash can tear only the last
 * record.
 *
 * <p>
 * Not thread-safe.
 */
public final class DurableLog implements AutoCloseable {

	/** The bytes {@code MLOG} in ASCII. */
	private static final int RECORD_MARKER = 0x4D4C4F47;

	private static final int RECORD_HEADER_BYTES = 3 * Integer.BYTES;

	/**
	 * Maximum size in bytes of the commands in one record of a replaced file, exceeded
	 * only by a single command.
	 */
	private static final int MAXIMUM_RECORD_BYTES = 1024 * 1024;

	private final Path path;

	private final DurableFiles files;

	private final List<LogEntry> unsyncedEntries = new ArrayList<>();

	private final Content recoveredContent;

	private FileChannel channel;

	/** Number of bytes at the start of the file that are certainly durable. */
	private long syncedBytes;

	/**
	 * Opens a log file, creating it if it does not exist. A torn last record is
	 * truncated.
	 * @param path path of the file
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file is corrupted before its last record or cannot be accessed
	 */
	public DurableLog(Path path) {
		this(path, new DurableFiles(Disk.SYSTEM));
	}

	DurableLog(Path path, DurableFiles files) {
		this.path = Objects.requireNonNull(path, "path must not be null");
		this.files = files;
		if (!Files.exists(path)) {
			this.files.replace(path, encodeRecords(new Content(0, 0, List.of())));
		}
		this.recoveredContent = recover();
	}

	/**
	 * Returns the content that was recovered when the file was opened.
	 * @return the content
	 */
	public Content recoveredContent() {
		return this.recoveredContent;
	}

	/**
	 * Adds entries to the next group commit. They supersede all existing entries from
	 * their first index on.
	 * @param entries entries with consecutive indexes; may be empty only if there are no
	 * unsynced entries
	 */
	public void append(List<LogEntry> entries) {
		if (!this.unsyncedEntries.isEmpty()) {
			long firstIndex = entries.get(0).index();
			if (firstIndex < this.unsyncedEntries.get(0).index()) {
				this.unsyncedEntries.clear();
			}
			else {
				this.unsyncedEntries.removeIf((entry) -> entry.index() >= firstIndex);
			}
		}
		this.unsyncedEntries.addAll(entries);
	}

	/**
	 * Returns whether entries have been added since the last sync.
	 * @return {@code true} if there are unsynced entries
	 */
	public boolean hasUnsyncedEntries() {
		return !this.unsyncedEntries.isEmpty();
	}

	/**
	 * Writes the unsynced entries as one record and syncs the file.
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written; the log must not be used afterwards, except for
	 * {@link #discardUnsynced()}
	 */
	public void sync() {
		if (this.unsyncedEntries.isEmpty()) {
			return;
		}
		LogEntry first = this.unsyncedEntries.get(0);
		// Only the base term of the first record in the file is used.
		Content content = new Content(first.index() - 1, 0, this.unsyncedEntries);
		try {
			ByteBuffer record = encodeRecord(StoredRecords.encode(content));
			int length = record.remaining();
			this.files.append(this.channel, record);
			this.syncedBytes += length;
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be written", ex);
		}
		this.unsyncedEntries.clear();
	}

	/**
	 * Replaces the whole log and discards unsynced entries, for example to remove entries
	 * that a snapshot covers.
	 * @param content the new content
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	public void replace(Content content) {
		this.unsyncedEntries.clear();
		// If this fails, the path may have the old or the new file. Both are durable in
		// full.
		this.syncedBytes = Long.MAX_VALUE;
		this.files.replace(this.path, encodeRecords(content));
		reopen();
	}

	/**
	 * Removes what a failed write or sync may have left behind, so that the file contains
	 * only entries that are certainly durable, and closes it. Can be repeated if it
	 * fails.
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	void discardUnsynced() {
		this.unsyncedEntries.clear();
		close();
		this.files.truncate(this.path, this.syncedBytes);
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
			this.syncedBytes = this.channel.size();
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be opened", ex);
		}
	}

	// Reads one record after the other, so that the bytes of the whole file are never in
	// memory beside its entries.
	private Content recover() {
		try (FileChannel input = FileChannel.open(this.path, StandardOpenOption.READ)) {
			ByteBuffer body = readRecord(input, 0);
			if (body == null) {
				throw StorageErrors.failure(this.path, "is corrupted: the first record is not valid");
			}
			Content first = StoredRecords.decodeContent(this.path, body);
			List<LogEntry> entries = new ArrayList<>(first.entries());
			long offset = 0;
			while (body != null) {
				offset += RECORD_HEADER_BYTES + body.capacity();
				body = readRecord(input, offset);
				if (body != null) {
					applyRecord(first.baseIndex(), entries, StoredRecords.decodeContent(this.path, body));
				}
			}
			requireNoRecordAfter(input, offset);
			// Also syncs the records: a process that ended may have written them without
			// a sync.
			this.files.truncate(this.path, offset);
			reopen();
			return new Content(first.baseIndex(), first.baseTerm(), entries);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(this.path, "cannot be read", ex);
		}
	}

	private void applyRecord(long baseIndex, List<LogEntry> entries, Content next) {
		long keptCount = next.baseIndex() - baseIndex;
		if (keptCount < 0 || keptCount > entries.size()) {
			throw StorageErrors.failure(this.path, "is corrupted: index %d does not follow index %d"
				.formatted(next.baseIndex() + 1, baseIndex + entries.size()));
		}
		entries.subList((int) keptCount, entries.size()).clear();
		entries.addAll(next.entries());
	}

	// A valid record after an invalid one means corruption, because a crash can tear
	// only the last record.
	private void requireNoRecordAfter(FileChannel input, long offset) throws IOException {
		ByteBuffer tail = read(input, offset, Math.toIntExact(input.size() - offset));
		for (int later = 1; later <= tail.limit() - RECORD_HEADER_BYTES; later++) {
			if (tail.getInt(later) == RECORD_MARKER && readRecord(input, offset + later) != null) {
				throw StorageErrors.failure(this.path,
						"is corrupted: the record at byte %d is not valid but a valid record follows at byte %d"
							.formatted(offset, offset + later));
			}
		}
	}

	/**
	 * Reads the body of a record.
	 * @param input the file
	 * @param offset position of the record in bytes
	 * @return the body, or {@code null} if no complete and valid record starts there
	 * @throws IOException if the file cannot be read
	 */
	private static ByteBuffer readRecord(FileChannel input, long offset) throws IOException {
		long available = input.size() - offset - RECORD_HEADER_BYTES;
		if (available < 0) {
			return null;
		}
		ByteBuffer header = read(input, offset, RECORD_HEADER_BYTES);
		if (header.getInt() != RECORD_MARKER) {
			return null;
		}
		int length = header.getInt();
		int checksum = header.getInt();
		if (length < 0 || length > available) {
			return null;
		}
		ByteBuffer body = read(input, offset + RECORD_HEADER_BYTES, length);
		return (checksum == DurableFiles.checksum(body.array(), 0, length)) ? body : null;
	}

	private static ByteBuffer read(FileChannel input, long offset, int length) throws IOException {
		ByteBuffer buffer = ByteBuffer.allocate(length);
		while (buffer.hasRemaining()) {
			if (input.read(buffer, offset + buffer.position()) < 0) {
				throw new EOFException("the file was shortened while it was read");
			}
		}
		return buffer.flip();
	}

	private static Iterator<ByteBuffer> encodeRecords(Content content) {
		List<Content> records = new ArrayList<>();
		int start = 0;
		long bytes = 0;
		for (int position = 0; position < content.entries().size(); position++) {
			bytes += content.entries().get(position).command().length;
			if (bytes > MAXIMUM_RECORD_BYTES && position > start) {
				records.add(content.part(start, position));
				start = position;
				bytes = content.entries().get(position).command().length;
			}
		}
		records.add(content.part(start, content.entries().size()));
		return records.stream().map((record) -> encodeRecord(StoredRecords.encode(record))).iterator();
	}

	private static ByteBuffer encodeRecord(byte[] body) {
		return ByteBuffer.allocate(RECORD_HEADER_BYTES + body.length)
			.putInt(RECORD_MARKER)
			.putInt(body.length)
			.putInt(DurableFiles.checksum(body, 0, body.length))
			.put(body)
			.flip();
	}

	/**
	 * Consecutive entries and the log position that precedes them.
	 *
	 * @param baseIndex index of the entry that precedes the first one
	 * @param baseTerm term of the entry that precedes the first one
	 * @param entries the entries
	 */
	public record Content(long baseIndex, long baseTerm, List<LogEntry> entries) {

		public Content {
			entries = List.copyOf(entries);
		}

		private Content part(int fromPosition, int toPosition) {
			long precedingTerm = (fromPosition == 0) ? this.baseTerm : this.entries.get(fromPosition - 1).term();
			return new Content(this.baseIndex + fromPosition, precedingTerm,
					this.entries.subList(fromPosition, toPosition));
		}

	}

}
