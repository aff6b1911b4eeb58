package org.magnolialead.testsupport.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free TCP ports on the loopback interface.
 */
public final class FreePorts {

	/**
	 * Lower bound of the ports, which are all below the default ephemeral range of Linux
	 * (from 32768). An outgoing connection could otherwise take a port between its
	 * selection and its use.
	 */
	private static final int MINIMUM_PORT = 10_000;

	private static final int MAXIMUM_PORT_EXCLUSIVE = 32_768;

	private static final int MAXIMUM_ATTEMPTS = 1_000;

	private FreePorts() {
	}

	/**
	 * Returns distinct ports that were free at the time of the call.
	 * @param count number of ports
	 * @return the ports
	 * @throws UncheckedIOException if no free port is found
	 */
	public static List<Integer> find(int count) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < count; i++) {
				sockets.add(open());
			}
			return sockets.stream().map(ServerSocket::getLocalPort).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot find a free port", ex);
		}
		finally {
			sockets.forEach(FreePorts::close);
		}
	}

	private static ServerSocket open() throws IOException {
		IOException lastFailure = null;
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			int port = ThreadLocalRandom.current().nextInt(MINIMUM_PORT, MAXIMUM_PORT_EXCLUSIVE);
			try {
				return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
			}
			catch (IOException ex) {
				lastFailure = ex;
			}
		}
		throw lastFailure;
	}

	private static void close(ServerSocket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot close a socket", ex);
		}
	}

}
