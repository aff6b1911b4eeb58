import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Recorder implements AutoCloseable {

	private final long start = System.nanoTime();

	private final PrintWriter writer;

	Recorder(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	double seconds() {
		return (System.nanoTime() - this.start) / 1e9;
	}

	synchronized void add(String format, Object... values) {
		this.writer.printf("%9.3f %s%n", seconds(), String.format(format, values));
		this.writer.flush();
	}

	@Override
	public synchronized void close() {
		this.writer.close();
	}

}
