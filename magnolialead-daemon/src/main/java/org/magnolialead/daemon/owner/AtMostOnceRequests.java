package org.magnolialead.daemon.owner;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.daemon.entry.Failures;
import org.magnolialead.engine.owner.IdempotencyDecision;
import org.magnolialead.engine.owner.IdempotencyDecision.LocalRecord;
import org.magnolialead.engine.owner.IdempotencyDecision.LocalState;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Requests that run at most once. The intent is committed to the control log before the
 * statement is sent, and the result after the statement has been answered. Confined to
 * the serial executor of the group.
 */
final class AtMostOnceRequests {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	/**
	 * Largest answer stored in the control log, in bytes. Of a larger answer only the
	 * term, the position and the member are stored.
	 */
	private static final int MAXIMUM_STORED_ANSWER_BYTES = 1024;

	/**
	 * Time for which the control log retains a key. A later resend is executed again, so
	 * this is far longer than any caller retries.
	 */
	private static final long KEY_RETENTION_MILLISECONDS = TimeUnit.DAYS.toMillis(7);

	/**
	 * Time for which FinishRequest is submitted repeatedly while the control plane does
	 * not answer.
	 */
	private static final long FINISH_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Number of the last attempt of this process. All groups share it, so that an attempt
	 * number is not reused when this process owns a group again.
	 */
	private static final AtomicLong LAST_ATTEMPT = new AtomicLong();

	private final GroupContext context;

	private final Consumer<PendingRequest> onIntentRecorded;

	private final Map<String, Entry> entries = new HashMap<>();

	private int unrecordedResults;

	AtMostOnceRequests(GroupContext context, Consumer<PendingRequest> onIntentRecorded) {
		this.context = context;
		this.onIntentRecorded = onIntentRecorded;
	}

	/**
	 * Submits a request: records the intent of a new key, answers a duplicate of a
	 * finished request with the stored answer, lets a duplicate of a running one wait for
	 * its result, and rejects any other duplicate.
	 * @param request the request
	 */
	void submit(PendingRequest request) {
		String key = request.request().idempotencyKey();
		String digest = digest(request);
		Entry entry = this.entries.get(key);
		if (entry != null && entry.answer != null && entry.digest.equals(digest)) {
			request.complete(entry.answer.asRepeated());
			return;
		}
		LocalRecord local = (entry != null) ? entry.record() : LocalRecord.ABSENT;
		IdempotencyDecision decision = IdempotencyDecision.onArrival(local, digest);
		if (decision instanceof IdempotencyDecision.Execute) {
			submitBegin(new Entry(key, digest, request));
		}
		else if (decision instanceof IdempotencyDecision.AwaitOutcome) {
			entry.duplicates.add(request);
		}
		else {
			answerWithDecision(request, decision);
		}
	}

	/**
	 * Records that the statement of a request was sent, so that its key stays reserved
	 * until the outcome is known.
	 * @param request the request
	 */
	void markSent(PendingRequest request) {
		Entry entry = entryOf(request);
		if (entry != null) {
			entry.state = LocalState.SENT;
		}
	}

	/**
	 * Answers a request that was executed, answers its duplicates with the same answer,
	 * and submits the answer to the control log.
	 * @param request the request
	 * @param answer the answer
	 */
	void complete(PendingRequest request, ExecuteAnswer answer) {
		request.complete(answer);
		Entry entry = entryOf(request);
		if (entry == null) {
			return;
		}
		entry.answer = answer;
		entry.duplicates.forEach((duplicate) -> duplicate.complete(answer.asRepeated()));
		entry.duplicates.clear();
		submitFinish(entry, true, encode(answer));
	}

	/**
	 * Fails a request that was certainly not executed. The caller is answered after its
	 * key has been released, so that an immediate resend through another owner can run.
	 * @param request the request
	 * @param failure the failure
	 * @param retryAfterMilliseconds time in milliseconds after which the request may be
	 * tried again, 0 if not stated
	 */
	void failNotRun(PendingRequest request, MagnolialeadException failure, long retryAfterMilliseconds) {
		Entry entry = entryOf(request);
		if (entry == null) {
			request.fail(failure, retryAfterMilliseconds);
			return;
		}
		if (entry.releasingKey) {
			return;
		}
		entry.releasingKey = true;
		entry.failure = failure;
		entry.retryAfterMilliseconds = retryAfterMilliseconds;
		if (entry.beginAnswered) {
			submitFinish(entry, false, null);
		}
		else {
			// FinishRequest is submitted only after BeginRequest has been answered,
			// because the two commands could overtake each other. Until then a resend
			// waits as a duplicate of this entry.
			request.fail(failure, retryAfterMilliseconds);
		}
	}

	/**
	 * Fails a request and its duplicates because the outcome of the statement is unknown.
	 * The key is never executed again by this owner.
	 * @param request the request
	 * @param failure the failure
	 */
	void failUnknown(PendingRequest request, MagnolialeadException failure) {
		request.fail(failure, 0);
		Entry entry = entryOf(request);
		if (entry != null) {
			entry.state = LocalState.UNKNOWN;
			entry.duplicates.forEach((duplicate) -> duplicate.fail(failure, 0));
			entry.duplicates.clear();
		}
	}

	/**
	 * Tells whether a request waits for the result of an earlier attempt with the same
	 * key that may have been executed. Such a request must not be answered as not run.
	 * @param request the request
	 * @return {@code true} if so
	 */
	boolean awaitsSentAttempt(PendingRequest request) {
		Entry entry = this.entries.get(request.request().idempotencyKey());
		return entry != null && entry.original.wasSent() && entry.duplicates.contains(request);
	}

	private void submitBegin(Entry entry) {
		this.entries.put(entry.key, entry);
		long forgetDeadline = System.currentTimeMillis() + KEY_RETENTION_MILLISECONDS;
		ControlCommand command = new ControlCommand.BeginRequest(this.context.group(), this.context.ownerEpoch(),
				entry.attempt, entry.key, entry.digest, forgetDeadline);
		this.context.services()
			.control()
			.submit(command, entry.original.deadline())
			.whenCompleteAsync((result, failure) -> begun(entry, result, failure), this.context.serial());
	}

	private void begun(Entry entry, CommandResult result, Throwable failure) {
		entry.beginAnswered = true;
		if (failure != null) {
			beginFailed(entry, Failures.toException(failure, Step.RECORD, "control"));
			return;
		}
		if (!result.isAccepted()) {
			ErrorCode code = (result.error() == ErrorCode.STALE_COMMAND) ? ErrorCode.NOT_OWNER : result.error();
			remove(entry, new MagnolialeadException(code, Step.RECORD, "control", result.message()));
			return;
		}
		IdempotencyDecision decision = IdempotencyDecision.onRecord(result.request(), entry.record(), entry.digest,
				this.context.ownerEpoch(), entry.attempt);
		if (decision instanceof IdempotencyDecision.Execute && entry.releasingKey) {
			submitFinish(entry, false, null);
			return;
		}
		if (decision instanceof IdempotencyDecision.Execute) {
			entry.original.markRecorded();
			this.onIntentRecorded.accept(entry.original);
			return;
		}
		this.entries.remove(entry.key);
		entry.requests().forEach((request) -> answerWithDecision(request, decision));
	}

	/**
	 * Fails a request whose intent could not be recorded. The statement was not sent, so
	 * the request was not run. If the command may have been committed nevertheless, the
	 * key is released with FinishRequest.
	 * @param entry the entry of the key
	 * @param failure why the command failed
	 */
	private void beginFailed(Entry entry, MagnolialeadException failure) {
		MagnolialeadException notRun = new MagnolialeadException(ErrorCode.UNREACHABLE, Step.RECORD, "control",
				"the intent could not be recorded: " + failure.getMessage(), failure);
		if (Failures.isKnownNotRun(failure)) {
			remove(entry, notRun);
		}
		else {
			entry.releasingKey = true;
			entry.failure = notRun;
			submitFinish(entry, false, null);
		}
	}

	private void remove(Entry entry, MagnolialeadException failure) {
		this.entries.remove(entry.key);
		entry.requests().forEach((request) -> request.fail(failure, 0));
	}

	private void answerWithDecision(PendingRequest request, IdempotencyDecision decision) {
		if (decision instanceof IdempotencyDecision.Replay replay) {
			request.complete(decode(replay.answer()).asRepeated());
		}
		else if (decision instanceof IdempotencyDecision.KeyReused) {
			request.fail(ErrorCode.INVALID_IDEMPOTENCY_KEY, Step.RECORD, "",
					"the idempotency key was used for another request");
		}
		else {
			request.fail(ErrorCode.EARLIER_ATTEMPT_UNKNOWN, Step.RECORD, "",
					"an earlier attempt with this idempotency key may have been executed; it is not run again");
		}
	}

	/**
	 * Returns the number of results that the control plane has not recorded yet.
	 * @return the number of results
	 */
	int unrecordedResults() {
		return this.unrecordedResults;
	}

	private void submitFinish(Entry entry, boolean executed, byte[] answer) {
		this.unrecordedResults++;
		ControlCommand command = new ControlCommand.FinishRequest(this.context.group(), this.context.ownerEpoch(),
				entry.attempt, entry.key, executed, answer);
		this.context.services()
			.control()
			.submit(command, this.context.now() + FINISH_TIMEOUT_NANOSECONDS)
			.whenCompleteAsync((result, failure) -> finished(entry, failure), this.context.serial());
	}

	private void finished(Entry entry, Throwable failure) {
		this.unrecordedResults--;
		if (entry.releasingKey) {
			entry.original.fail(entry.failure, entry.retryAfterMilliseconds);
		}
		if (failure != null) {
			// The control log may still hold the intent without a result, for which other
			// owners reject the key. This owner must not execute it again either.
			entry.state = (entry.answer != null) ? entry.state : LocalState.UNKNOWN;
			entry.releasingKey = false;
			entry.duplicates.forEach((request) -> answerWithDecision(request, new IdempotencyDecision.Unknown()));
			entry.duplicates.clear();
			return;
		}
		this.entries.remove(entry.key);
		if (entry.releasingKey) {
			List.copyOf(entry.duplicates).forEach(this::submit);
		}
	}

	private Entry entryOf(PendingRequest request) {
		Entry entry = this.entries.get(request.request().idempotencyKey());
		return (entry != null && entry.original == request) ? entry : null;
	}

	private static String digest(PendingRequest request) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			sha256.update((byte) request.request().kind().ordinal());
			sha256.update(request.request().statement());
			return HexFormat.of().formatHex(sha256.digest(), 0, 16);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	private static byte[] encode(ExecuteAnswer answer) {
		try {
			byte[] encoded = MAPPER.writeValueAsBytes(answer);
			if (encoded.length <= MAXIMUM_STORED_ANSWER_BYTES) {
				return encoded;
			}
			return MAPPER.writeValueAsBytes(
					ExecuteAnswer.done(new byte[0], answer.term(), answer.position(), answer.member(), false, ""));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static ExecuteAnswer decode(byte[] answer) {
		if (answer.length == 0) {
			return ExecuteAnswer.done(answer, 0, LogPosition.NONE, "", false, "");
		}
		try {
			return MAPPER.readValue(answer, ExecuteAnswer.class);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * State of one idempotency key at this owner.
	 */
	private static final class Entry {

		private final String key;

		private final String digest;

		private final PendingRequest original;

		private final long attempt = LAST_ATTEMPT.incrementAndGet();

		private final List<PendingRequest> duplicates = new ArrayList<>();

		private LocalState state = LocalState.BEGINNING;

		private ExecuteAnswer answer;

		private boolean beginAnswered;

		private boolean releasingKey;

		private MagnolialeadException failure;

		private long retryAfterMilliseconds;

		Entry(String key, String digest, PendingRequest original) {
			this.key = key;
			this.digest = digest;
			this.original = original;
		}

		LocalRecord record() {
			return new LocalRecord(this.state, this.digest);
		}

		List<PendingRequest> requests() {
			List<PendingRequest> requests = new ArrayList<>(this.duplicates);
			requests.add(0, this.original);
			return requests;
		}

	}

}
