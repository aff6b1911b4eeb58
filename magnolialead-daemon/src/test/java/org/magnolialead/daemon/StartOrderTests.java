package org.magnolialead.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Wait for another process of the same VM.
 */
class StartOrderTests {

	private static final String HOST = "127.0.0.1";

	/**
	 * Guards against a daemon that competes for the processor with the control daemon
	 * that everyone waits for.
	 */
	@Test
	void processThatListensEndsTheWait() throws IOException {
		try (ServerSocket other = new ServerSocket(0, 0, InetAddress.getByName(HOST))) {
			assertThat(StartOrder.await(HOST + ":" + other.getLocalPort(), MonotonicClock.SYSTEM)).isTrue();
		}
	}

	/**
	 * Guards against a daemon that never starts because the other process is down.
	 */
	@Test
	void processThatIsDownDelaysTheStartOnly() throws IOException {
		int port;
		try (ServerSocket other = new ServerSocket(0, 0, InetAddress.getByName(HOST))) {
			port = other.getLocalPort();
		}
		assertThat(StartOrder.await(HOST + ":" + port, MonotonicClock.SYSTEM)).isFalse();
	}

}
