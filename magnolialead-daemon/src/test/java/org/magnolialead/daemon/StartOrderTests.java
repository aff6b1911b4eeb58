package org.magnolialead.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StartOrder}.
 */
class StartOrderTests {

	private static final String HOST = "127.0.0.1";

	/**
	 * Guards against a daemon that competes for the processor with the control daemon on
	 * which the fleet depends.
	 */
	@Test
	void listeningProcessEndsTheWait() throws IOException {
		try (ServerSocket other = new ServerSocket(0, 0, InetAddress.getByName(HOST))) {
			assertThat(StartOrder.await(HOST + ":" + other.getLocalPort(), MonotonicClock.SYSTEM)).isTrue();
		}
	}

	/**
	 * Guards against a daemon that does not start because the other process is down.
	 */
	@Test
	void processThatIsDownOnlyDelaysTheStart() throws IOException {
		int port;
		try (ServerSocket other = new ServerSocket(0, 0, InetAddress.getByName(HOST))) {
			port = other.getLocalPort();
		}
		assertThat(StartOrder.await(HOST + ":" + port, MonotonicClock.SYSTEM)).isFalse();
	}

}
