package org.magnolialead.ctl.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnolialead.ctl.load.LoadChecks.CheckedKey;
import org.magnolialead.ctl.load.LoadChecks.Violation;
import org.magnolialead.ctl.load.RequestFactory.Target;

/**
 * Reads counters and unique keys after a run and compares them with the reported
 * outcomes.
 */
final class LoadVerifier {

	private static final long TIMEOUT_MILLISECONDS = 5_000;

	private static final int MAXIMUM_ATTEMPTS = 10;

	private static final long RETRY_DELAY_MILLISECONDS = 300;

	private static final int BATCH_SIZE = 16;

	private final LoadSettings settings;

	private final HttpLoadClient client;

	private final RequestFactory requests;

	private final LoadChecks checks;

	LoadVerifier(LoadSettings settings, HttpLoadClient client, RequestFactory requests, LoadChecks checks) {
		this.settings = settings;
		this.client = client;
		this.requests = requests;
		this.checks = checks;
	}

	void verify() {
		verify(this.checks.counterKeys(), (key, value) -> this.checks.verifyCounter(key, value.asLong(0)));
		verify(this.checks.insertKeys(LoadResult.DONE), (key, value) -> {
			if (!value.asText().equals(key.name())) {
				this.checks.recordViolation(Violation.LOST_WRITE, "acknowledged key " + key.name() + " is " + value);
			}
		});
		verify(this.checks.insertKeys(LoadResult.NOT_RUN), (key, value) -> {
			if (!value.isNull()) {
				this.checks.recordViolation(Violation.RUN_AFTER_NOT_RUN, "key " + key.name() + " is " + value);
			}
		});
	}

	private void verify(List<CheckedKey> keys, BiConsumer<CheckedKey, JsonNode> comparison) {
		for (int from = 0; from < keys.size(); from += BATCH_SIZE) {
			List<CheckedKey> remaining = keys.subList(from, Math.min(keys.size(), from + BATCH_SIZE));
			for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS && !remaining.isEmpty(); attempt++) {
				remaining = verifyOnce(remaining, attempt, comparison);
				if (!remaining.isEmpty()) {
					LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLISECONDS));
				}
			}
			remaining.forEach((key) -> this.checks.recordUnverified());
		}
	}

	private List<CheckedKey> verifyOnce(List<CheckedKey> keys, int attempt,
			BiConsumer<CheckedKey, JsonNode> comparison) {
		List<CompletableFuture<LoadResponse>> responses = keys.stream().map((key) -> read(key, attempt)).toList();
		List<CheckedKey> failed = new ArrayList<>();
		for (int i = 0; i < keys.size(); i++) {
			LoadResponse response = responses.get(i).join();
			JsonNode value = response.json().path("value");
			if (response.result() != LoadResult.DONE || value.isMissingNode()) {
				failed.add(keys.get(i));
			}
			else {
				comparison.accept(keys.get(i), value);
			}
		}
		return failed;
	}

	private CompletableFuture<LoadResponse> read(CheckedKey key, int attempt) {
		CompletableFuture<LoadResponse> future = new CompletableFuture<>();
		Target target = new Target(key.group(), false, this.settings.verifyProfile(), null, "", TIMEOUT_MILLISECONDS);
		this.client.send(this.requests.build(target, RequestFactory.statement("get", key.name()), attempt),
				future::complete);
		return future;
	}

}
