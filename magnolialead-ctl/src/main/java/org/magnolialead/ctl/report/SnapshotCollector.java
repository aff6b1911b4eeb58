package org.magnolialead.ctl.report;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;

/**
 * Collects snapshots from running entry daemons.
 */
public final class SnapshotCollector {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int OK = 200;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(TIMEOUT)
		.build();

	/**
	 * Requests the snapshots of all daemons concurrently.
	 * @param addresses addresses of the daemons in the form {@code host:port}
	 * @param failures receives one line for each daemon that returned no snapshot
	 * @return the snapshots received
	 */
	public ServiceLevelCollection collect(List<String> addresses, Consumer<String> failures) {
		List<CompletableFuture<CollectedSnapshot>> responses = addresses.stream().map(this::requestSnapshot).toList();
		List<CollectedSnapshot> collected = new ArrayList<>();
		for (int index = 0; index < responses.size(); index++) {
			try {
				collected.add(responses.get(index).join());
			}
			catch (CompletionException ex) {
				failures.accept("daemon %s: no service levels: %s".formatted(addresses.get(index), ex.getCause()));
			}
		}
		return new ServiceLevelCollection(collected);
	}

	private CompletableFuture<CollectedSnapshot> requestSnapshot(String address) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/metrics/service-levels"))
			.timeout(TIMEOUT)
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
			.thenApply((response) -> new CollectedSnapshot(address, System.currentTimeMillis(), decode(response)));
	}

	private static ServiceLevelSnapshot decode(HttpResponse<byte[]> response) {
		if (response.statusCode() != OK) {
			throw new CompletionException(new IOException("HTTP status " + response.statusCode()));
		}
		try {
			return ServiceLevelCollection.JSON.readValue(response.body(), ServiceLevelSnapshot.class);
		}
		catch (IOException ex) {
			throw new CompletionException(ex);
		}
	}

}
