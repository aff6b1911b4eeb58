package org.magnolialead.daemon;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.daemon.session.ForwardingLink;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Link to other entry daemons over the peer protocol.
 *
 * @param client connections to other daemons
 */
record PeerForwardingLink(PeerClient client) implements ForwardingLink {

	@Override
	public CompletableFuture<Object> request(String address, Object message, long deadline) {
		try {
			return this.client.request(address, message, deadline);
		}
		catch (IllegalArgumentException ex) {
			// The message is larger than a frame, so this daemon has to serve it itself.
			return CompletableFuture.failedFuture(
					new MagnolialeadException(ErrorCode.REQUEST_TOO_LARGE, Step.FORWARD, address, ex.getMessage(), ex));
		}
	}

	@Override
	public void send(String address, Object message) {
		this.client.send(address, message);
	}

}
