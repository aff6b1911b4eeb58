package org.magnolialead.testsupport.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports on the loopback interface.
 */
public final class FreePorts {

	private FreePorts() {
	}

	/**
	 * Returns ports that were free and different from each other at the time of the call.
	 * @param count number of ports
	 * @return the ports
	 */
	public static List<Integer> find(int count) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < count; i++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
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

	private static void close(ServerSocket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot close a socket", ex);
		}
	}

}
