package org.magnolialead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Writes and syncs the files of a data folder. Another implementation can inject failures
 * of the disk.
 */
public interface Disk {

	/**
	 * Disk for folders that do not outlive the process, so that nothing has to be synced
	 * and no replacement of a file has to be atomic. Some file systems for temporary
	 * files refuse to rename files.
	 */
	Disk VOLATILE = new Disk() {

		@Override
		public void write(FileChannel channel, ByteBuffer content) throws IOException {
			SYSTEM.write(channel, content);
		}

		@Override
		public void sync(FileChannel channel) {
			// Nothing has to outlive the process.
		}

		@Override
		public void syncDirectory(Path directory) {
			// Nothing has to outlive the process.
		}

		@Override
		public void move(Path source, Path target) throws IOException {
			Files.write(target, Files.readAllBytes(source));
		}

	};

	/** Disk of the operating system. */
	Disk SYSTEM = new Disk() {

		@Override
		public void write(FileChannel channel, ByteBuffer content) throws IOException {
			while (content.hasRemaining()) {
				channel.write(content);
			}
		}

		@Override
		public void sync(FileChannel channel) throws IOException {
			channel.force(true);
		}

	};

	/**
	 * Writes all remaining bytes of a buffer.
	 * @param channel file to write to
	 * @param content the bytes
	 * @throws IOException if not all bytes were written
	 */
	void write(FileChannel channel, ByteBuffer content) throws IOException;

	/**
	 * Makes everything durable that was written to a file or directory.
	 * @param channel the file or directory
	 * @throws IOException if the content may not be durable. The operating system may
	 * have discarded it, so that a later sync succeeds without having written it
	 */
	void sync(FileChannel channel) throws IOException;

	/**
	 * Replaces a file by another one.
	 * @param source the new file, whose name is not used afterwards
	 * @param target the file to replace
	 * @throws IOException if the file was not replaced
	 */
	default void move(Path source, Path target) throws IOException {
		Files.move(source, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
	}

	/**
	 * Makes the names of files in a directory durable.
	 * @param directory the directory
	 * @throws IOException if the names may not be durable
	 */
	default void syncDirectory(Path directory) throws IOException {
		try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
			sync(channel);
		}
	}

}
