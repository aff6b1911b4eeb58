package org.magnolialead.engine.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * Replication progress of another member, as seen by the leader.
 */
final class MemberProgress {

	/** Limits the memory used for a member that never answers. */
	private static final int MAXIMUM_UNANSWERED = 1_024;

	private final ControlIdentity identity;

	private final long firstRound;

	private final Deque<SentRound> unanswered = new ArrayDeque<>();

	/** First round that counts as in flight; earlier ones are treated as lost. */
	private long firstRoundInFlight;

	private int inFlight;

	private long inFlightBytes;

	private long matchIndex;

	private long nextIndex;

	private boolean pipelining;

	private boolean awaitingProbe;

	/** Time of the latest answer, or of the creation if there is none. */
	private long lastAnswerTime;

	private boolean answered;

	private long answeredSendTime;

	private ConsensusSnapshot transfer;

	private long transferOffset;

	MemberProgress(ControlIdentity identity, long nextIndex, long firstRound, long now) {
		this.identity = identity;
		this.nextIndex = nextIndex;
		this.firstRound = firstRound;
		this.lastAnswerTime = now;
	}

	ControlIdentity identity() {
		return this.identity;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	boolean hasAnswered() {
		return this.answered;
	}

	/**
	 * Returns when the latest answered message was sent.
	 * @return the time in nanoseconds, undefined until {@link #hasAnswered()} is
	 * {@code true}
	 */
	long answeredSendTime() {
		return this.answeredSendTime;
	}

	boolean hasNotAnsweredSince(long time) {
		return this.lastAnswerTime - time < 0;
	}

	boolean maySendEntries(int maximumInFlight, long maximumInFlightBytes) {
		if (!this.pipelining) {
			return !this.awaitingProbe;
		}
		return this.inFlight < maximumInFlight && this.inFlightBytes < maximumInFlightBytes;
	}

	/**
	 * Records a message.
	 * @param round round of the message
	 * @param now present time in nanoseconds
	 * @param entries entries in the message
	 */
	void recordSend(long round, long now, List<LogEntry> entries) {
		long bytes = 0;
		for (LogEntry entry : entries) {
			bytes += entry.command().length;
		}
		this.unanswered.addLast(new SentRound(round, now, bytes));
		this.inFlight++;
		this.inFlightBytes += bytes;
		if (this.unanswered.size() > MAXIMUM_UNANSWERED) {
			removeFirstUnanswered();
		}
		if (this.pipelining) {
			this.nextIndex += entries.size();
		}
		else {
			this.awaitingProbe = true;
		}
	}

	/**
	 * Records an answer in the leader's term.
	 * @param round round of the answered message
	 * @param now present time in nanoseconds
	 * @return {@code true} if the message was in flight, {@code false} if it was treated
	 * as lost. The answer of a message that was treated as lost still shows that the
	 * member had contact with the leader when the message was sent
	 */
	boolean recordAnswer(long round, long now) {
		if (round < this.firstRound) {
			return false;
		}
		this.lastAnswerTime = now;
		boolean known = false;
		while (!this.unanswered.isEmpty() && this.unanswered.peekFirst().round() <= round) {
			SentRound sent = removeFirstUnanswered();
			if (sent.round() == round) {
				known = round >= this.firstRoundInFlight;
				this.answered = true;
				this.answeredSendTime = sent.time();
			}
		}
		return known;
	}

	private SentRound removeFirstUnanswered() {
		SentRound first = this.unanswered.removeFirst();
		if (first.round() >= this.firstRoundInFlight) {
			this.inFlight--;
			this.inFlightBytes -= first.bytes();
		}
		return first;
	}

	void recordMatch(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		this.pipelining = true;
		this.awaitingProbe = false;
	}

	/**
	 * Moves the next index back after the member rejected a message.
	 * @param hint highest index at which the log of the member may match
	 */
	void recordRejection(long hint) {
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(this.nextIndex, hint + 1));
		startProbing();
	}

	/**
	 * Treats messages in flight as lost and sends one message at a time, starting after
	 * the last matching entry. While none is known, it repeats the present one: a member
	 * whose first answer is late would otherwise receive the whole log.
	 */
	void resendFromMatch() {
		if (this.matchIndex > 0) {
			this.nextIndex = this.matchIndex + 1;
		}
		startProbing();
	}

	void allowProbe() {
		this.awaitingProbe = false;
	}

	private void startProbing() {
		this.pipelining = false;
		this.awaitingProbe = false;
		this.inFlight = 0;
		this.inFlightBytes = 0;
		if (!this.unanswered.isEmpty()) {
			this.firstRoundInFlight = this.unanswered.peekLast().round() + 1;
		}
	}

	ConsensusSnapshot transfer() {
		return this.transfer;
	}

	long transferOffset() {
		return this.transferOffset;
	}

	void startTransfer(ConsensusSnapshot snapshot) {
		this.transfer = snapshot;
		this.transferOffset = 0;
		startProbing();
	}

	void continueTransfer(long offset) {
		this.transferOffset = offset;
	}

	void finishTransfer() {
		this.transfer = null;
	}

	private record SentRound(long round, long time, long bytes) {
	}

}
