import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt of a case. */
final class Record {

	private static final long START = System.nanoTime();

	private static PrintWriter writer;

	private Record() {
	}

	static synchronized void open(Path folder) throws Exception {
		writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
	}

	static long milliseconds() {
		return (System.nanoTime() - START) / 1_000_000;
	}

	static synchronized void line(String text, Object... arguments) {
		writer.println("%9.3f %s".formatted((System.nanoTime() - START) / 1e9, text.formatted(arguments)));
	}

	static void show(String text, Object... arguments) {
		line(text, arguments);
		System.out.println(text.formatted(arguments));
	}

	static synchronized void close() {
		writer.close();
	}

}
