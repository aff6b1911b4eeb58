package org.magnolialead.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/**
 * Writes and syncs the files of a data folder. Another implementation can inject failures
 * of the disk.
 */
public interface Disk {

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

}
