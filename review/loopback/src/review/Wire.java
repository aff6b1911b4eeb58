package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Connection of the line protocol. A line ends with carriage return and line feed, and
 * with nothing else.
 */
final class Wire implements AutoCloseable {

	private final Socket socket;

	private final InputStream input;

	Wire(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setTcpNoDelay(true);
		this.input = new BufferedInputStream(socket.getInputStream(), 65_536);
	}

	static Wire connect(String host, int port, int readTimeoutMilliseconds) throws IOException {
		Socket socket = new Socket();
		socket.connect(new InetSocketAddress(host, port), 1_000);
		socket.setSoTimeout(readTimeoutMilliseconds);
		return new Wire(socket);
	}

	/** Returns the next line without its end, or {@code null} at the end of the stream. */
	String readLine() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream(128);
		int previous = -1;
		for (int next = this.input.read(); next >= 0; next = this.input.read()) {
			if (next == '\n' && previous == '\r') {
				byte[] bytes = line.toByteArray();
				return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
			}
			line.write(next);
			previous = next;
		}
		return null;
	}

	void write(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/** Sends one line and returns the lines of the answer up to {@code READY}. */
	List<String> exchange(String line) throws IOException {
		write(line + "\r\n");
		return readAnswer();
	}

	List<String> readAnswer() throws IOException {
		List<String> answer = new ArrayList<>();
		for (String line = readLine(); line != null; line = readLine()) {
			answer.add(line);
			if (line.startsWith("READY")) {
				return answer;
			}
		}
		answer.add("CLOSED");
		return answer;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
