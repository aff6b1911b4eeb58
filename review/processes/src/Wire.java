import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Socket that sends and receives lines of the wire protocol. */
final class Wire implements AutoCloseable {

	final Socket socket;

	private final InputStream input;

	private final OutputStream output;

	private final byte[] buffer = new byte[16_384];

	private int start;

	private int end;

	Wire(Socket socket) throws IOException {
		this.socket = socket;
		socket.setTcpNoDelay(true);
		this.input = socket.getInputStream();
		this.output = new BufferedOutputStream(socket.getOutputStream(), 65_536);
	}

	static Wire connect(String host, int port, int timeoutMilliseconds) throws IOException {
		Socket socket = new Socket();
		socket.connect(new InetSocketAddress(host, port), 1_000);
		socket.setSoTimeout(timeoutMilliseconds);
		return new Wire(socket);
	}

	/** Returns the next line without its end, or {@code null} at the end of the stream. */
	String read() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream(256);
		int last = -1;
		while (true) {
			if (this.start == this.end) {
				this.end = this.input.read(this.buffer);
				this.start = 0;
				if (this.end < 0) {
					this.end = 0;
					return null;
				}
			}
			int from = this.start;
			while (this.start < this.end) {
				byte next = this.buffer[this.start++];
				if (next == '\n' && last == '\r') {
					line.write(this.buffer, from, this.start - from);
					String text = line.toString(StandardCharsets.ISO_8859_1);
					return text.substring(0, text.length() - 2);
				}
				last = next;
			}
			line.write(this.buffer, from, this.end - from);
		}
	}

	void send(String... lines) throws IOException {
		for (String line : lines) {
			this.output.write(line.getBytes(StandardCharsets.ISO_8859_1));
			this.output.write('\r');
			this.output.write('\n');
		}
		this.output.flush();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
	}

}
