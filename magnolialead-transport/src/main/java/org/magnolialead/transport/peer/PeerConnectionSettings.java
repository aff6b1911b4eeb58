package org.magnolialead.transport.peer;

/**
 * Timing of the connections of a {@link PeerClient}.
 *
 * @param connectTimeoutMilliseconds time in milliseconds after which an attempt to
 * connect fails
 * @param probeIntervalMilliseconds time in milliseconds without a received byte after a
 * write until a probe is sent, and after the probe until the connection is closed. TCP
 * alone would keep a connection that was lost without being closed for minutes after the
 * network has recovered
 */
public record PeerConnectionSettings(int connectTimeoutMilliseconds, int probeIntervalMilliseconds) {

	/**
	 * Settings for messages whose senders wait for seconds.
	 */
	public static final PeerConnectionSettings DEFAULT = new PeerConnectionSettings(1_000, 750);

	/**
	 * Settings for statements of clients, which have to reach another daemon within their
	 * own timeout if the first one does not answer.
	 */
	public static final PeerConnectionSettings STATEMENTS = new PeerConnectionSettings(200, 200);

	public PeerConnectionSettings {
		if (connectTimeoutMilliseconds < 1 || probeIntervalMilliseconds < 1) {
			throw new IllegalArgumentException("timeouts must be positive, found %d and %d ms"
				.formatted(connectTimeoutMilliseconds, probeIntervalMilliseconds));
		}
	}

}
