package org.magnolialead.daemon.control;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ConsensusMessage.AppendRequest;
import org.magnolialead.api.message.ConsensusMessage.SnapshotRequest;
import org.magnolialead.api.message.LogEntry;

/**
 * Received messages that wait for the thread of the control log. The queue is limited by
 * the number and the size of its messages, because that thread may wait for the disk for
 * seconds. Safe for concurrent use.
 */
final class ConsensusMessageQueue {

	private static final int MAXIMUM_MESSAGES = 10_000;

	private final Queue<ConsensusMessage> messages = new ConcurrentLinkedQueue<>();

	private final AtomicInteger count = new AtomicInteger();

	private final AtomicLong bytes = new AtomicLong();

	private final long maximumBytes;

	/**
	 * Creates an empty queue.
	 * @param maximumBytes maximum size in bytes of the commands and snapshot parts in the
	 * messages
	 */
	ConsensusMessageQueue(long maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Adds a message.
	 * @param message the message
	 * @return {@code false} if the queue is full
	 */
	boolean offer(ConsensusMessage message) {
		long size = size(message);
		boolean fits = this.count.incrementAndGet() <= MAXIMUM_MESSAGES;
		fits &= this.bytes.addAndGet(size) <= this.maximumBytes || size == 0;
		if (!fits) {
			release(size);
			return false;
		}
		return this.messages.offer(message);
	}

	/**
	 * Removes the first message.
	 * @return the message, or {@code null} if the queue is empty
	 */
	ConsensusMessage poll() {
		ConsensusMessage message = this.messages.poll();
		if (message != null) {
			release(size(message));
		}
		return message;
	}

	boolean isEmpty() {
		return this.messages.isEmpty();
	}

	void clear() {
		while (poll() != null) {
			continue;
		}
	}

	private void release(long size) {
		this.count.decrementAndGet();
		this.bytes.addAndGet(-size);
	}

	private static long size(ConsensusMessage message) {
		if (message instanceof AppendRequest append) {
			long size = 0;
			for (LogEntry entry : append.entries()) {
				size += entry.command().length;
			}
			return size;
		}
		return (message instanceof SnapshotRequest snapshot) ? snapshot.data().length : 0;
	}

}
