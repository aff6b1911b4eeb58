package org.magnolialead.ctl.load;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnolialead.ctl.load.LoadChecks.CheckedKey;
import org.magnolialead.ctl.load.LoadChecks.Violation;
import org.magnolialead.ctl.load.LoadMix.Operation;
import org.magnolialead.ctl.load.RequestFactory.Target;
import org.magnolialead.ctl.load.SessionKey.Version;

/**
 * Sends the requests of one class and checks their responses.
 */
final class MixDriver {

	private static final Operation[] WRITES = { Operation.PUT, Operation.INCREMENT, Operation.INSERT };

	private final LoadMix mix;

	private final String keyPrefix;

	private final LoadSettings settings;

	private final List<LoadSession> sessions;

	private final HttpLoadClient client;

	private final RequestFactory requests;

	private final LoadChecks checks;

	private final WriteGapTracker gaps;

	private final RandomGenerator random;

	private final AtomicInteger inFlight;

	private final long measureFrom;

	private final MixStatistics statistics;

	private final AtomicLong inserts = new AtomicLong();

	MixDriver(LoadMix mix, String keyPrefix, LoadSettings settings, List<LoadSession> sessions, HttpLoadClient client,
			RequestFactory requests, LoadChecks checks, WriteGapTracker gaps, RandomGenerator random,
			AtomicInteger inFlight, long measureFrom) {
		this.mix = mix;
		this.keyPrefix = keyPrefix;
		this.settings = settings;
		this.sessions = sessions;
		this.client = client;
		this.requests = requests;
		this.checks = checks;
		this.gaps = gaps;
		this.random = random;
		this.inFlight = inFlight;
		this.measureFrom = measureFrom;
		this.statistics = new MixStatistics(mix);
	}

	MixStatistics statistics() {
		return this.statistics;
	}

	/**
	 * Sends the next request.
	 * @param due time of the monotonic clock in nanoseconds at which the request is due
	 */
	void sendNext(long due) {
		LoadSession session = this.sessions.get(this.random.nextInt(this.sessions.size()));
		Operation operation = (this.mix.operation() != Operation.MIXED) ? this.mix.operation()
				: WRITES[this.random.nextInt(WRITES.length)];
		switch (operation) {
			case GET -> get(session, due);
			case PUT -> put(session, due);
			case INCREMENT -> increment(session, due);
			default -> insert(session, due);
		}
	}

	private void get(LoadSession session, long due) {
		SessionKey key = session.key(this.random.nextInt(this.mix.keys()));
		Version minimum = key.minimumVersion();
		Target target = target(key.group(), session, "");
		send(target, RequestFactory.statement("get", minimum.name()), due, (response) -> {
			if (response.result() == LoadResult.DONE) {
				checkRead(session, key, minimum, response);
			}
		});
	}

	private void checkRead(LoadSession session, SessionKey key, Version minimum, LoadResponse response) {
		JsonNode value = response.json().path("value");
		Version found = value.isNull() ? new Version(minimum.name(), 0) : Version.parse(minimum.name(), value.asText());
		if (found == null) {
			this.checks.recordViolation(Violation.FOREIGN_ANSWER,
					"read of %s returned %s".formatted(minimum.name(), value));
			return;
		}
		if (minimum.sequence() > 0) {
			this.checks.recordSessionRead(session.tokenUse());
		}
		if (found.sequence() < minimum.sequence()) {
			this.checks.recordViolation(Violation.STALE_READ,
					"read of %s by session with token %s at %s served by %s returned write %d after write %d".formatted(
							minimum.name(), session.tokenUse(), response.header("magnolialead-member"),
							response.header("magnolialead-member-role"), found.sequence(), minimum.sequence()));
		}
		if (key.wasReportedNotRun(found)) {
			this.checks.recordViolation(Violation.RUN_AFTER_NOT_RUN, "value " + found.value() + " was read");
		}
	}

	private void put(LoadSession session, long due) {
		SessionKey key = session.key(this.random.nextInt(this.mix.keys()));
		Version version = key.beginWrite();
		if (version == null) {
			insert(session, due);
			return;
		}
		ObjectNode statement = RequestFactory.statement("put", version.name()).put("value", version.value());
		write(key.group(), session, statement, due, (response) -> {
			checkValue(version.value(), response);
			key.endWrite(version, response.result());
		});
	}

	private void insert(LoadSession session, long due) {
		long number = this.inserts.incrementAndGet();
		CheckedKey key = new CheckedKey(group(number), this.keyPrefix + "-u" + number);
		ObjectNode statement = RequestFactory.statement("put", key.name()).put("value", key.name());
		write(key.group(), session, statement, due, (response) -> {
			checkValue(key.name(), response);
			this.checks.recordInsert(key, response.result());
		});
	}

	private void increment(LoadSession session, long due) {
		int number = this.random.nextInt(this.mix.keys());
		CheckedKey key = new CheckedKey(group(number), this.keyPrefix + "-c" + number);
		write(key.group(), session, RequestFactory.statement("increment", key.name()), due, (response) -> {
			JsonNode count = response.json().path("value");
			if (response.result() == LoadResult.DONE && !count.isIntegralNumber()) {
				this.checks.recordViolation(Violation.FOREIGN_ANSWER,
						"increment of %s returned %s".formatted(key.name(), count));
			}
			this.checks.recordIncrement(key, response.result(), count.asLong());
		});
	}

	private void checkValue(String expected, LoadResponse response) {
		if (response.result() == LoadResult.DONE && !response.json().path("value").asText().equals(expected)) {
			this.checks.recordViolation(Violation.FOREIGN_ANSWER,
					"write of %s returned %s".formatted(expected, response.json()));
		}
	}

	private void write(String group, LoadSession session, ObjectNode statement, long due,
			Consumer<LoadResponse> completion) {
		Target target = target(group, session, this.requests.nextId());
		boolean resend = !this.settings.direct() && this.random.nextDouble() < this.mix.resend();
		send(target, statement, due, (response) -> {
			if (response.result() == LoadResult.DONE) {
				this.gaps.recordAcknowledgement(group, System.nanoTime());
			}
			if (resend && response.result() != LoadResult.NOT_SENT) {
				resend(target, statement, response, completion);
			}
			else {
				completion.accept(response);
			}
		});
	}

	/**
	 * Resends a write with the same idempotency key. The write is done if either attempt
	 * is acknowledged; otherwise its outcome is unknown if that of either attempt is.
	 * @param target target of the request
	 * @param statement statement of the request
	 * @param first response to the first attempt
	 * @param completion receives the response that determines the outcome
	 */
	private void resend(Target target, ObjectNode statement, LoadResponse first, Consumer<LoadResponse> completion) {
		this.inFlight.incrementAndGet();
		this.client.send(this.requests.build(target, statement), (second) -> {
			boolean secondCounts = first.result() != LoadResult.DONE && (second.result() == LoadResult.DONE
					|| (first.result() == LoadResult.NOT_RUN && second.result() == LoadResult.UNKNOWN));
			completion.accept(secondCounts ? second : first);
			this.inFlight.decrementAndGet();
		});
	}

	private void send(Target target, ObjectNode statement, long due, Consumer<LoadResponse> completion) {
		boolean measured = due - this.measureFrom >= 0;
		if (measured) {
			this.statistics.recordOffered();
		}
		this.inFlight.incrementAndGet();
		this.client.send(this.requests.build(target, statement), (response) -> {
			if (measured) {
				this.statistics.recordResponse(response, System.nanoTime() - due);
			}
			target.session().updateToken(response.header("magnolialead-session-token"));
			completion.accept(response);
			this.inFlight.decrementAndGet();
		});
	}

	private Target target(String group, LoadSession session, String idempotencyKey) {
		return new Target(group, this.mix.isWrite(), this.mix.profile(), session, idempotencyKey,
				this.mix.timeoutMilliseconds());
	}

	private String group(long number) {
		return this.settings.groups().get((int) (number % this.settings.groups().size()));
	}

}
