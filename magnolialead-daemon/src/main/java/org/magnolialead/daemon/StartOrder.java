package org.magnolialead.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Order in which processes of one VM start. When a whole fleet restarts, every daemon
 * waits for the control daemons, so these get the processor of their VM first.
 */
final class StartOrder {

	/** Greatest time to wait, so that a process that is down delays nothing for long. */
	private static final long WAIT_TIMEOUT_NANOSECONDS = 300_000_000L;

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 20;

	private static final long POLL_INTERVAL_MILLISECONDS = 15;

	private StartOrder() {
	}

	/**
	 * Waits until another process listens.
	 * @param address its address in the form {@code host:port}
	 * @param clock clock for the limit
	 * @return whether it listens; {@code false} after 300 ms without it
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
			// It is still starting, or it is down.
			return false;
		}
	}

}
