package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Record of one run: what was sent, answered and run, with the time since the start.
 */
final class Record implements AutoCloseable {

	private final long startedAt = System.nanoTime();

	private final Writer writer;

	Record(Path file) throws IOException {
		this.writer = Files.newBufferedWriter(file);
	}

	synchronized void add(String format, Object... arguments) {
		double seconds = (System.nanoTime() - this.startedAt) / 1e9;
		try {
			this.writer.write(String.format(Locale.ROOT, "%8.3f  ", seconds)
					+ String.format(Locale.ROOT, format, arguments) + "\n");
			this.writer.flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public synchronized void close() throws IOException {
		this.writer.close();
	}

}
