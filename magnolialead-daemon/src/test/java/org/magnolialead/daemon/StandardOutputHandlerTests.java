package org.magnolialead.daemon;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StandardOutputHandler} with a reader that stops reading.
 */
class StandardOutputHandlerTests {

	private static final int LINES = 10_000;

	/**
	 * Guards against requests that block because nothing reads standard output, and
	 * against dropped lines that are not reported.
	 */
	@Test
	void stalledReaderDoesNotBlockLogging() {
		CountDownLatch read = new CountDownLatch(1);
		ByteArrayOutputStream lines = new ByteArrayOutputStream();
		StandardOutputHandler handler = new StandardOutputHandler(new OutputStream() {

			@Override
			public void write(int value) {
				lines.write(value);
			}

			@Override
			public void write(byte[] bytes) {
				awaitQuietly(read);
				lines.writeBytes(bytes);
			}

		});
		for (int line = 0; line < LINES; line++) {
			handler.publish(new LogRecord(Level.INFO, "line " + line));
		}
		read.countDown();
		handler.close();
		String text = lines.toString(StandardCharsets.UTF_8);
		assertThat(text).contains("line 0").contains("ML-1007 log lines dropped: count=");
		assertThat(text.lines().filter((line) -> line.contains("line ")).count()).isLessThan(LINES);
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
