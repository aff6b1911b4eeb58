import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Calls an HTTP interface once, with the time limit of the platform's callers. */
final class Http {

	record Answer(int status, String headers, byte[] body) {
	}

	private static final int TIMEOUT_MILLISECONDS = 1_000;

	private static final Answer NONE = new Answer(0, "", new byte[0]);

	private Http() {
	}

	static Answer call(String method, String address, String path, byte[] body) {
		return call(method, address, path, body, TIMEOUT_MILLISECONDS);
	}

	static Answer call(String method, String address, String path, byte[] body, int timeout) {
		try (Socket socket = new Socket()) {
			socket.connect(Addresses.parse(address), timeout);
			socket.setSoTimeout(timeout);
			int length = (body != null) ? body.length : 0;
			String head = method + " " + path + " HTTP/1.1\r\nHost: " + address
					+ "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + length + "\r\n\r\n";
			socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
			if (body != null) {
				socket.getOutputStream().write(body);
			}
			socket.getOutputStream().flush();
			return read(socket.getInputStream());
		}
		catch (IOException | RuntimeException ex) {
			return NONE;
		}
	}

	private static Answer read(InputStream input) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				return NONE;
			}
			head.write(next);
		}
		String headers = head.toString(StandardCharsets.ISO_8859_1);
		int length = 0;
		for (String line : headers.split("\r\n")) {
			if (line.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
			}
		}
		byte[] body = input.readNBytes(length);
		return (body.length == length) ? new Answer(Integer.parseInt(headers.split(" ")[1]), headers, body) : NONE;
	}

	/** Calls the control daemons in turn, follows redirects, until one answers 200. */
	static Answer any(List<String> addresses, String method, String path, byte[] body, int totalMilliseconds)
			throws InterruptedException {
		long deadline = System.nanoTime() + totalMilliseconds * 1_000_000L;
		Answer last = NONE;
		while (System.nanoTime() - deadline < 0) {
			String address = addresses.get(Math.floorMod(NEXT.getAndIncrement(), addresses.size()));
			last = call(method, address, path, body);
			if (last.status() == 307) {
				int at = last.headers().indexOf("http" + "://");
				String target = last.headers().substring(at + 7, last.headers().indexOf('\r', at));
				last = call(method, target.substring(0, target.indexOf('/')), path, body);
			}
			if (last.status() == 200 || last.status() == 400) {
				return last;
			}
			Thread.sleep(50);
		}
		return last;
	}

	private static final AtomicInteger NEXT = new AtomicInteger();

}
