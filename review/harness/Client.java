import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A session of a client with a database. */
final class Client implements AutoCloseable {

	/** Answer to a statement; {@code code} is DONE, the code of an error, or CLOSED. */
	record Reply(String code, String detail, List<String> rows, String state) {

		boolean isDone() {
			return this.code.equals("DONE");
		}

	}

	private static final int READY_TIMEOUT_MILLISECONDS = 2_000;

	private final Socket socket = new Socket();

	private final BufferedReader reader;

	final String name;

	Client(String address, String database) throws IOException {
		this.name = database;
		this.socket.connect(Addresses.parse(address), READY_TIMEOUT_MILLISECONDS);
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(READY_TIMEOUT_MILLISECONDS);
		this.reader = new BufferedReader(
				new InputStreamReader(this.socket.getInputStream(), StandardCharsets.ISO_8859_1));
		write("CONNECT " + database + " client\r\n");
		String line = this.reader.readLine();
		if (line == null || !line.startsWith("READY")) {
			throw new IOException("no READY but " + line);
		}
		this.socket.setSoTimeout(10_000);
	}

	static String newIdentifier() {
		return "%016x".formatted(ThreadLocalRandom.current().nextLong());
	}

	Reply query(String identifier, String text) {
		List<String> rows = new ArrayList<>();
		String code = "CLOSED";
		String detail = "";
		try {
			write("QUERY " + identifier + " " + text + "\r\n");
			for (String line = this.reader.readLine(); line != null; line = this.reader.readLine()) {
				if (line.startsWith("ROW ")) {
					rows.add(line.substring(4));
				}
				else if (line.startsWith("DONE ")) {
					code = "DONE";
					detail = line.substring(5);
				}
				else if (line.startsWith("ERR ")) {
					code = line.split(" ")[1];
					detail = line;
				}
				else if (line.startsWith("READY ")) {
					return new Reply(code, detail, rows, line.split(" ")[1]);
				}
			}
		}
		catch (IOException ex) {
			return new Reply("CLOSED", ex.toString(), rows, "-");
		}
		return new Reply("CLOSED", "end of the connection", rows, "-");
	}

	private void write(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			return;
		}
	}

}
