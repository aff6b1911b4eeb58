package org.magnolialead.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.magnolialead.api.log.LogEvent;

/**
 * Writes log records to standard output without blocking the threads that log. A bounded
 * queue feeds a single writer thread. Records that arrive while the queue is full are
 * dropped, and a later line reports their number.
 */
final class StandardOutputHandler extends Handler {

	private static final int QUEUE_CAPACITY = 2_000;

	private static final long CLOSE_TIMEOUT_MILLISECONDS = 1_000;

	private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream output;

	private final Thread writer = new Thread(this::write, "log-writer");

	private volatile boolean closed;

	StandardOutputHandler() {
		this(new FileOutputStream(FileDescriptor.out));
	}

	/**
	 * Creates a handler.
	 * @param output stream to write to; its writes may block
	 */
	StandardOutputHandler(OutputStream output) {
		this.output = output;
		setFormatter(new LineFormatter());
		setLevel(Level.INFO);
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	public void publish(LogRecord record) {
		if (!this.closed && isLoggable(record) && !this.queue.offer(record)) {
			this.dropped.incrementAndGet();
		}
	}

	private void write() {
		try {
			while (!this.closed || !this.queue.isEmpty()) {
				LogRecord record = this.queue.poll(CLOSE_TIMEOUT_MILLISECONDS / 20, TimeUnit.MILLISECONDS);
				if (record != null) {
					writeDropped();
					write(record);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			// The reader of standard output is gone, and there is no other place to
			// report it.
			this.closed = true;
		}
	}

	private void writeDropped() throws IOException {
		long lines = this.dropped.getAndSet(0);
		if (lines > 0) {
			write(new LogRecord(Level.WARNING, LogEvent.LOG_LINES_DROPPED.text(lines)));
		}
	}

	private void write(LogRecord record) throws IOException {
		this.output.write(getFormatter().format(record).getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void flush() {
		// The writer thread writes each line without buffering.
	}

	@Override
	public void close() {
		this.closed = true;
		try {
			this.writer.join(CLOSE_TIMEOUT_MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
