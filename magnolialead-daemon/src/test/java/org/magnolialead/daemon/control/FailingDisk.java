package org.magnolialead.daemon.control;

import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

import org.magnolialead.storage.Disk;

/**
 * Disk that can be made to fail, and whose size can be limited. Failures apply to all
 * files.
 */
final class FailingDisk implements Disk {

	private volatile Fault fault = Fault.NONE;

	private volatile boolean failed;

	private Path folder;

	private long capacity = Long.MAX_VALUE;

	private long maximumUsed;

	void fail(Fault present) {
		this.fault = present;
		this.failed |= present != Fault.NONE;
	}

	/**
	 * Returns whether the disk has failed since the start, also if it works again.
	 * @return {@code true} after a fault
	 */
	boolean hasFailed() {
		return this.failed;
	}

	/**
	 * Limits the size of the files in a folder.
	 * @param dataFolder the folder
	 * @param bytes maximum size of its files together in bytes
	 */
	synchronized void limit(Path dataFolder, long bytes) {
		this.folder = dataFolder;
		this.capacity = bytes;
	}

	/**
	 * Returns the largest size that the files of the folder had.
	 * @return the size in bytes, 0 without a limit
	 */
	synchronized long maximumUsed() {
		return this.maximumUsed;
	}

	@Override
	public void write(FileChannel channel, ByteBuffer content) throws IOException {
		requireSpace(content.remaining());
		this.fault.write(channel, content);
	}

	private synchronized void requireSpace(int bytes) throws IOException {
		if (this.folder == null) {
			return;
		}
		long used = bytes;
		for (File file : this.folder.toFile().listFiles()) {
			used += file.length();
		}
		if (used > this.capacity) {
			throw new IOException("No space left on device");
		}
		this.maximumUsed = Math.max(this.maximumUsed, used);
	}

	@Override
	public void sync(FileChannel channel) throws IOException {
		this.fault.sync(channel);
	}

	/**
	 * Way in which the disk fails.
	 */
	enum Fault {

		/** The disk works. */
		NONE,

		/** No byte is written. */
		FULL {

			@Override
			void write(FileChannel channel, ByteBuffer content) throws IOException {
				throw new IOException("No space left on device");
			}

		},

		/** A part of the bytes is written. */
		FULL_WITHIN_RECORD {

			@Override
			void write(FileChannel channel, ByteBuffer content) throws IOException {
				ByteBuffer part = content.slice(content.position(), content.remaining() / 2);
				Disk.SYSTEM.write(channel, part);
				throw new IOException("No space left on device");
			}

		},

		/** All bytes are written, but may not be durable. */
		SYNC_FAILS {

			@Override
			void sync(FileChannel channel) throws IOException {
				throw new IOException("Input/output error");
			}

		};

		void write(FileChannel channel, ByteBuffer content) throws IOException {
			Disk.SYSTEM.write(channel, content);
		}

		void sync(FileChannel channel) throws IOException {
			Disk.SYSTEM.sync(channel);
		}

	}

}
