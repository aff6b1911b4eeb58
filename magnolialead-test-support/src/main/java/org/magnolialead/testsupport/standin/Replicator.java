package org.magnolialead.testsupport.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Replicates records from the primary by long polling. Confined to the event loop.
 */
final class Replicator {

	private static final long LONG_POLL_MILLISECONDS = 500;

	private static final long RETRY_DELAY_MILLISECONDS = 50;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private final MemberStore store;

	private final FaultInjection faults;

	private final EventExecutor eventLoop;

	private final HttpClient client;

	private final Runnable onStoreChange;

	private String primary = "";

	private long followGeneration;

	private ScheduledFuture<?> nextApply;

	Replicator(MemberStore store, FaultInjection faults, EventExecutor eventLoop, HttpClient client,
			Runnable onStoreChange) {
		this.store = store;
		this.faults = faults;
		this.eventLoop = eventLoop;
		this.client = client;
		this.onStoreChange = onStoreChange;
	}

	/**
	 * Starts to replicate from a primary and stops replicating from the former one.
	 * Responses to requests that were sent before the change are ignored.
	 * @param address address of the primary, or an empty string for none
	 */
	void follow(String address) {
		this.primary = address;
		this.followGeneration++;
		if (!address.isEmpty()) {
			pull(this.followGeneration);
		}
	}

	String primary() {
		return this.primary;
	}

	void applyDue() {
		if (this.nextApply != null) {
			this.nextApply.cancel(false);
			this.nextApply = null;
		}
		long remainingNanoseconds = this.store.applyDue(this.faults.lagMilliseconds);
		if (remainingNanoseconds >= 0) {
			this.nextApply = this.eventLoop.schedule(this::applyDue, remainingNanoseconds, TimeUnit.NANOSECONDS);
		}
	}

	private void pull(long expectedGeneration) {
		if (expectedGeneration != this.followGeneration) {
			return;
		}
		if (this.faults.replicationPaused) {
			retry(expectedGeneration);
			return;
		}
		String target = "http://%s/replication/records?term=%d&after_term=%d&after_index=%d&wait_milliseconds=%d"
			.formatted(this.primary, this.store.term(), this.store.lastReceivedPosition().term(),
					this.store.lastReceivedPosition().index(), LONG_POLL_MILLISECONDS);
		HttpRequest request = HttpRequest.newBuilder(URI.create(target)).timeout(REQUEST_TIMEOUT).build();
		this.client.sendAsync(request, BodyHandlers.ofByteArray())
			.whenCompleteAsync((response, failure) -> handleResponse(expectedGeneration, response, failure),
					this.eventLoop);
	}

	private void handleResponse(long expectedGeneration, HttpResponse<byte[]> response, Throwable failure) {
		if (expectedGeneration != this.followGeneration) {
			return;
		}
		if (failure != null || response.statusCode() != 200 || this.faults.replicationPaused) {
			retry(expectedGeneration);
			return;
		}
		try {
			applyBatch(ReplicationBatch.decode(response.body()));
		}
		catch (JsonProcessingException | StatementException ex) {
			retry(expectedGeneration);
			return;
		}
		pull(expectedGeneration);
	}

	private void applyBatch(ReplicationBatch batch) {
		if (batch.matches()) {
			this.store.receive(batch.records());
		}
		else {
			this.store.truncate(batch.keepUntil());
		}
		applyDue();
		this.onStoreChange.run();
	}

	private void retry(long expectedGeneration) {
		this.eventLoop.schedule(() -> pull(expectedGeneration), RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

}
