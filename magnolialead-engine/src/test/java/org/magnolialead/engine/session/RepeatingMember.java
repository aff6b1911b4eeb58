package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;

/**
 * Simulated connection to a member that sends replies twice. A client sends statements,
 * transactions and probes one after the other, and compares each reply with the true one.
 */
final class RepeatingMember {

	private static final int OPERATIONS = 200;

	private static final long STEP_NANOSECONDS = 1_000_000;

	private static final int MAXIMUM_DELAY_STEPS = 80;

	private static final double COMMIT_SHARE = 0.2;

	/** Share of the commands after which the log of the member is cut back. */
	private static final double CUT_BACK_SHARE = 0.002;

	private final Random random;

	private final double repeatedShare;

	private final double refusedShare;

	private final ReplyMatcher matcher = new ReplyMatcher();

	/** Replies that arrive, by step and then in the order in which they were sent. */
	private final TreeMap<Long, List<StatementReply>> arriving = new TreeMap<>();

	private final Deque<SentCommand> unanswered = new ArrayDeque<>();

	private final List<String> wrongReplies = new ArrayList<>();

	private final List<String> wrongProbeReplies = new ArrayList<>();

	private SessionState state = SessionState.IDLE;

	private StatementReply lastCompleted;

	private long step;

	private long lastArrival;

	private long index = 1;

	private int proofs;

	private int commandsSent;

	private boolean connectionRefused;

	/** Step in which the log of the member was last cut back, or -1. */
	private long cutBackStep = -1;

	/** Whether the member is known to repeat replies, as it is after the first one. */
	private boolean repetitionsExpected;

	RepeatingMember(long seed, double repeatedShare, double refusedShare, boolean repetitionsExpected) {
		this.random = new Random(seed);
		this.repeatedShare = repeatedShare;
		this.refusedShare = refusedShare;
		this.repetitionsExpected = repetitionsExpected;
	}

	/**
	 * Plays 300 connections to a member that is known to repeat replies.
	 * @param repeatedShare share of the replies that are repeated
	 * @param refusedShare share of the commands that fail
	 * @return number of commands for each connection that was given up
	 */
	static double commandsPerRefusedConnection(double repeatedShare, double refusedShare) {
		int sent = 0;
		int refusedConnections = 0;
		for (int seed = 1; seed <= 300; seed++) {
			RepeatingMember member = new RepeatingMember(seed, repeatedShare, refusedShare, true);
			member.run();
			sent += member.commandsSent();
			refusedConnections += member.isConnectionRefused() ? 1 : 0;
		}
		return sent / (double) Math.max(1, refusedConnections);
	}

	List<String> wrongReplies() {
		return this.wrongReplies;
	}

	List<String> wrongProbeReplies() {
		return this.wrongProbeReplies;
	}

	int commandsSent() {
		return this.commandsSent;
	}

	boolean isConnectionRefused() {
		return this.connectionRefused;
	}

	void run() {
		for (int operation = 0; operation < OPERATIONS && !this.connectionRefused; operation++) {
			if (this.random.nextBoolean()) {
				executeSingle();
			}
			else {
				executeTransaction();
			}
			this.step += this.random.nextInt(MAXIMUM_DELAY_STEPS / 4);
			deliverUntil(this.step);
		}
	}

	private void executeSingle() {
		if (this.random.nextInt(4) == 0) {
			await(ReplyForm.SETTING);
		}
		await(ReplyForm.STATEMENT);
	}

	private void executeTransaction() {
		await(ReplyForm.BEGIN);
		if (this.connectionRefused || !this.lastCompleted.isDone()) {
			return;
		}
		for (int statement = this.random.nextInt(3); statement >= 0 && !this.connectionRefused; statement--) {
			await(ReplyForm.STATEMENT);
		}
		if (!this.connectionRefused) {
			await(ReplyForm.ROLLBACK);
		}
	}

	private void await(ReplyForm form) {
		if (this.connectionRefused) {
			return;
		}
		send(form, false);
		while (!this.unanswered.isEmpty() && !this.connectionRefused) {
			if (this.arriving.isEmpty()) {
				if (!mayIgnoreReplies()) {
					this.wrongReplies.add("no reply completes the command " + form);
				}
				this.connectionRefused = true;
				return;
			}
			this.step = Math.max(this.step, this.arriving.firstKey());
			deliverUntil(this.step);
		}
	}

	// Shortly after a cut of the log a reply is taken for an earlier one. The timeout of
	// its command closes the connection.
	private boolean mayIgnoreReplies() {
		long ignoredSteps = ReplyHistory.MAXIMUM_OLD_REPETITION_DELAY_NANOSECONDS / STEP_NANOSECONDS;
		return this.cutBackStep >= 0 && this.step - this.cutBackStep <= ignoredSteps;
	}

	private void send(ReplyForm form, boolean probe) {
		this.commandsSent++;
		if (this.random.nextDouble() < CUT_BACK_SHARE) {
			this.index = Math.max(1, this.index - this.random.nextInt(3));
			this.cutBackStep = this.step;
		}
		this.matcher.sent(form);
		StatementReply reply = reply(form);
		this.state = reply.state();
		this.unanswered.add(new SentCommand(reply, probe));
		this.lastArrival = Math.max(this.lastArrival, this.step + 1 + this.random.nextInt(3));
		arrives(this.lastArrival, reply);
		if (this.random.nextDouble() < this.repeatedShare) {
			arrives(this.lastArrival + this.random.nextInt(MAXIMUM_DELAY_STEPS), reply);
		}
	}

	private void arrives(long at, StatementReply reply) {
		this.arriving.computeIfAbsent(at, (unused) -> new ArrayList<>()).add(reply);
	}

	private StatementReply reply(ReplyForm form) {
		LogPosition position = new LogPosition(1, this.index);
		if (this.state == SessionState.FAILED_TRANSACTION && form != ReplyForm.ROLLBACK) {
			return failure(StatementError.MALFORMED, this.state);
		}
		if (form != ReplyForm.ROLLBACK && this.random.nextDouble() < this.refusedShare) {
			return refusal(form);
		}
		if (form == ReplyForm.STATEMENT) {
			this.proofs++;
			boolean commits = this.state == SessionState.IDLE && this.random.nextDouble() < COMMIT_SHARE;
			this.index += commits ? 1 : 0;
			return new StatementReply(List.of("row"), "proof-" + this.proofs, null, "", this.state,
					new LogPosition(1, this.index));
		}
		SessionState after = switch (form) {
			case BEGIN -> SessionState.TRANSACTION;
			case ROLLBACK -> SessionState.IDLE;
			default -> this.state;
		};
		return new StatementReply(List.of(), "-", null, "", after, position);
	}

	private StatementReply refusal(ReplyForm form) {
		if (form == ReplyForm.BEGIN) {
			return failure(StatementError.NOT_PRIMARY, this.state);
		}
		boolean endsTransaction = this.state == SessionState.TRANSACTION && this.random.nextBoolean();
		return endsTransaction ? failure(StatementError.FAILED, SessionState.FAILED_TRANSACTION)
				: failure(StatementError.OVERLOADED, this.state);
	}

	private StatementReply failure(StatementError error, SessionState after) {
		return new StatementReply(List.of(), null, error, "", after, new LogPosition(1, this.index));
	}

	private void deliverUntil(long end) {
		while (!this.arriving.isEmpty() && this.arriving.firstKey() <= end && !this.connectionRefused) {
			long at = this.arriving.firstKey();
			this.arriving.remove(at).forEach((reply) -> deliver(reply, at));
		}
	}

	private void deliver(StatementReply reply, long at) {
		if (this.connectionRefused) {
			return;
		}
		ReplyMatcher.Match match = this.matcher.received(reply, this.matcher.commandsSent(), this.repetitionsExpected,
				at * STEP_NANOSECONDS);
		this.repetitionsExpected |= match.repeated();
		if (!match.possible()) {
			this.connectionRefused = true;
			return;
		}
		this.repetitionsExpected |= match.repeated();
		for (StatementReply completed : match.completed()) {
			SentCommand command = this.unanswered.remove();
			if (!isReplyTo(command, completed)) {
				List<String> wrong = command.probe() ? this.wrongProbeReplies : this.wrongReplies;
				wrong.add("expected %s but was %s".formatted(command.reply(), completed));
			}
			this.lastCompleted = completed;
		}
		for (int probe = 0; probe < match.probes(); probe++) {
			send(ReplyForm.SETTING, true);
		}
	}

	// A reply without a proof that is believed after probes has no position.
	private static boolean isReplyTo(SentCommand command, StatementReply completed) {
		StatementReply expected = command.reply();
		boolean positionUnknown = completed.position() == null && !expected.hasProof();
		return completed.equals(positionUnknown ? expected.withoutPosition() : expected);
	}

	private record SentCommand(StatementReply reply, boolean probe) {
	}

}
