package org.magnolialead.testsupport.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.util.concurrent.EventExecutor;
import org.magnolialead.api.MemberDescription;

/**
 * Announces the member to the daemons in round-robin order. Confined to the event loop.
 */
final class Announcer {

	private static final long INTERVAL_MILLISECONDS = 500;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private final List<String> daemonAddresses;

	private final HttpClient client;

	private final Supplier<MemberDescription> description;

	private int nextAddress;

	Announcer(List<String> daemonAddresses, HttpClient client, Supplier<MemberDescription> description) {
		this.daemonAddresses = daemonAddresses;
		this.client = client;
		this.description = description;
	}

	void start(EventExecutor eventLoop) {
		if (!this.daemonAddresses.isEmpty()) {
			eventLoop.scheduleAtFixedRate(this::announce, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Sends one announcement to the next daemon. Failures are ignored, because the next
	 * announcement goes to the next address.
	 */
	void announce() {
		if (this.daemonAddresses.isEmpty()) {
			return;
		}
		String address = this.daemonAddresses.get(this.nextAddress++ % this.daemonAddresses.size());
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/announcements"))
			.timeout(REQUEST_TIMEOUT)
			.header("Content-Type", "application/json")
			.POST(BodyPublishers.ofByteArray(encode()))
			.build();
		this.client.sendAsync(request, BodyHandlers.discarding());
	}

	private byte[] encode() {
		try {
			return DatabaseStandIn.JSON.writeValueAsBytes(this.description.get());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode the announcement", ex);
		}
	}

}
