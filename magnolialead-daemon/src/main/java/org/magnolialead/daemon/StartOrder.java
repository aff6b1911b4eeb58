package org.magnolialead.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Delays the start of a daemon until another process on the same VM listens. When a whole
 * fleet restarts, every daemon depends on the control daemons, so these should get the
 * processor of their VM first.
 */
final class StartOrder {

	/**
	 * Maximum time to wait, so that a process that is down delays the start only briefly.
	 */
	private static final long WAIT_TIMEOUT_NANOSECONDS = 800_000_000L;

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 20;

	private static final long POLL_INTERVAL_MILLISECONDS = 15;

	private StartOrder() {
	}

	/**
	 * Waits until another process accepts connections or the timeout expires.
	 * @param address its address in the form {@code host:port}
	 * @param clock clock for the timeout
	 * @return {@code true} if it accepts connections, {@code false} if it does not within
	 * the timeout
	 */
	static boolean await(String address, MonotonicClock clock) {
		long deadline = clock.nanoseconds() + WAIT_TIMEOUT_NANOSECONDS;
		InetSocketAddress target = NettySupport.parseAddress(address);
		while (deadline - clock.nanoseconds() > 0) {
			if (isListening(target)) {
				return true;
			}
			Processes.pause(POLL_INTERVAL_MILLISECONDS);
		}
		return false;
	}

	private static boolean isListening(InetSocketAddress target) {
		try (Socket socket = new Socket()) {
			socket.connect(target, CONNECT_TIMEOUT_MILLISECONDS);
			return true;
		}
		catch (IOException ex) {
			// The process is still starting or is down.
			return false;
		}
	}

}
