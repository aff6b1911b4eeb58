package org.magnolialead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * Reads files and replaces them atomically and durably: after a crash, a file has either
 * its old or its new content.
 */
final class DurableFiles {

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private static final int CHECKSUM_BYTES = Integer.BYTES;

	private final Disk disk;

	DurableFiles(Disk disk) {
		this.disk = Objects.requireNonNull(disk, "disk must not be null");
	}

	/**
	 * Replaces a file and syncs both the file and its directory.
	 * @param path the file
	 * @param parts parts of the new content in order, taken one after the other so that
	 * they need not be in memory at the same time
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be replaced
	 */
	void replace(Path path, Iterator<ByteBuffer> parts) {
		Path temporary = path.resolveSibling(path.getFileName() + TEMPORARY_SUFFIX);
		try {
			try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
					StandardOpenOption.TRUNCATE_EXISTING)) {
				while (parts.hasNext()) {
					this.disk.write(channel, parts.next());
				}
				this.disk.sync(channel);
			}
		}
		catch (IOException ex) {
			throw StorageErrors.failure(path, "cannot be replaced", ex);
		}
		move(temporary, path);
	}

	/**
	 * Moves a synced file over another file of the same directory and syncs the
	 * directory.
	 * @param source the synced file
	 * @param path the file to replace
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be replaced
	 */
	void move(Path source, Path path) {
		try {
			this.disk.move(source, path);
			syncDirectory(path.getParent());
		}
		catch (IOException ex) {
			throw StorageErrors.failure(path, "cannot be replaced", ex);
		}
	}

	/**
	 * Replaces a file by a CRC32C checksum followed by the new content.
	 * @param path the file
	 * @param content the new content
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be replaced
	 */
	void replaceWithChecksum(Path path, byte[] content) {
		ByteBuffer buffer = ByteBuffer.allocate(CHECKSUM_BYTES + content.length);
		buffer.putInt(checksum(content, 0, content.length)).put(content).flip();
		replace(path, List.of(buffer).iterator());
	}

	/**
	 * Reads a file written by {@link #replaceWithChecksum} and verifies its checksum.
	 * @param path the file
	 * @return the content without the checksum
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file is corrupted or cannot be read
	 */
	static byte[] readWithChecksum(Path path) {
		byte[] bytes = read(path);
		if (bytes.length < CHECKSUM_BYTES) {
			throw StorageErrors.failure(path, "is corrupted: the file is too short for a checksum");
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		int expected = buffer.getInt();
		if (expected != checksum(bytes, CHECKSUM_BYTES, bytes.length - CHECKSUM_BYTES)) {
			throw StorageErrors.failure(path, "is corrupted: the checksum does not match");
		}
		byte[] content = new byte[buffer.remaining()];
		buffer.get(content);
		return content;
	}

	static byte[] read(Path path) {
		try {
			return Files.readAllBytes(path);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(path, "cannot be read", ex);
		}
	}

	void syncDirectory(Path directory) throws IOException {
		this.disk.syncDirectory(directory);
	}

	/**
	 * Writes bytes to an open file and syncs it.
	 * @param channel the file
	 * @param content the bytes
	 * @throws IOException if the bytes may not be durable
	 */
	void append(FileChannel channel, ByteBuffer content) throws IOException {
		this.disk.write(channel, content);
		this.disk.sync(channel);
	}

	/**
	 * Cuts a file to a length and syncs it.
	 * @param path the file
	 * @param length maximum length in bytes
	 * @throws org.magnolialead.api.MagnolialeadException of code {@code STORAGE_FAILURE}
	 * if the file cannot be written
	 */
	void truncate(Path path, long length) {
		try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
			channel.truncate(length);
			this.disk.sync(channel);
		}
		catch (IOException ex) {
			throw StorageErrors.failure(path, "cannot be truncated", ex);
		}
	}

	static int checksum(byte[] bytes, int offset, int length) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes, offset, length);
		return (int) checksum.getValue();
	}

}
