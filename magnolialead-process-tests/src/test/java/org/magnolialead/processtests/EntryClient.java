package org.magnolialead.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP client for entry daemons and database stand-ins.
 */
final class EntryClient {

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Timeout of a response; longer than every request timeout in the tests.
	 */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	/**
	 * Sends a request.
	 * @param address HTTP address of an entry daemon
	 * @param request the request
	 * @return future of the response; fails if the connection breaks
	 */
	CompletableFuture<Response> sendAsync(String address, Request request) {
		HttpRequest.Builder httpRequest = HttpRequest.newBuilder(URI.create("http://" + address + request.path()))
			.timeout(RESPONSE_TIMEOUT)
			.header("Content-Type", "application/json")
			.POST(BodyPublishers.ofString(request.body()));
		request.headers().forEach(httpRequest::header);
		return this.client.sendAsync(httpRequest.build(), BodyHandlers.ofByteArray()).thenApply(EntryClient::decode);
	}

	Response send(String address, Request request) {
		return sendAsync(address, request).join();
	}

	/**
	 * Sends a request whose response may be lost.
	 * @param address HTTP address of an entry daemon
	 * @param request the request
	 * @return the response, or empty if the connection broke
	 */
	Optional<Response> trySend(String address, Request request) {
		try {
			return Optional.of(send(address, request));
		}
		catch (CompletionException ex) {
			return Optional.empty();
		}
	}

	JsonNode get(String address, String path) {
		return decode(exchange(HttpRequest.newBuilder(URI.create("http://" + address + path)))).body();
	}

	/**
	 * Returns the status code of a GET request.
	 * @param address HTTP address
	 * @param path path of the resource
	 * @return HTTP status code, or 0 if there is no response
	 */
	int statusCode(String address, String path) {
		try {
			return exchange(HttpRequest.newBuilder(URI.create("http://" + address + path))).statusCode();
		}
		catch (UncheckedIOException ex) {
			return 0;
		}
	}

	JsonNode post(String address, String path) {
		return decode(exchange(
				HttpRequest.newBuilder(URI.create("http://" + address + path)).POST(BodyPublishers.ofString("{}"))))
			.body();
	}

	private HttpResponse<byte[]> exchange(HttpRequest.Builder httpRequest) {
		try {
			return this.client.send(httpRequest.timeout(Duration.ofSeconds(5)).build(), BodyHandlers.ofByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting for a response", ex);
		}
	}

	private static Response decode(HttpResponse<byte[]> response) {
		try {
			return new Response(response.statusCode(), response.headers(), JSON.readTree(response.body()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
