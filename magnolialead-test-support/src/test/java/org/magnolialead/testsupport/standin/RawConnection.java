package org.magnolialead.testsupport.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Single HTTP connection that a test opens and closes explicitly.
 */
final class RawConnection implements AutoCloseable {

	private final Socket socket;

	RawConnection(int port) throws IOException {
		this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
	}

	String post(String path, String body) throws IOException {
		String request = "POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s".formatted(path, body.length(),
				body);
		this.socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		InputStream input = this.socket.getInputStream();
		StringBuilder response = new StringBuilder();
		while (response.indexOf("\r\n\r\n") < 0) {
			response.append((char) input.read());
		}
		String length = response.toString().replaceAll("(?is).*content-length: ([0-9]+).*", "$1");
		byte[] content = input.readNBytes(Integer.parseInt(length));
		return response + new String(content, StandardCharsets.UTF_8);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
