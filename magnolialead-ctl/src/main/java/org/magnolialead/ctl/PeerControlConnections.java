package org.magnolialead.ctl;

import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Connections to control daemons over the peer protocol.
 */
final class PeerControlConnections implements ControlConnectionFactory, AutoCloseable {

	private static final long REQUEST_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);

	private final PeerClient client = new PeerClient(MonotonicClock.SYSTEM);

	@Override
	public ControlConnection connect(String address) {
		return (message) -> request(address, message);
	}

	private Object request(String address, Object message) {
		long deadline = MonotonicClock.SYSTEM.nanoseconds() + REQUEST_TIMEOUT_NANOSECONDS;
		try {
			return this.client.request(address, message, deadline).join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof MagnolialeadException cause) {
				throw cause;
			}
			throw new MagnolialeadException(ErrorCode.NO_ANSWER, Step.CONTROL, address, String.valueOf(ex.getCause()),
					ex);
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

}
