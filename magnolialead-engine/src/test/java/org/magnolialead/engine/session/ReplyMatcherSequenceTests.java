package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sequences of replies that give a command the reply of another one, or
 * that close a connection whose member repeats nothing.
 */
class ReplyMatcherSequenceTests {

	private final ReplyMatcher matcher = new ReplyMatcher();

	private final List<StatementReply> completed = new ArrayList<>();

	private static StatementReply done(SessionState state, long index) {
		return new StatementReply(List.of(), "-", null, "", state, new LogPosition(1, index));
	}

	private static StatementReply proven(String proof, SessionState state, long index) {
		return new StatementReply(List.of("row"), proof, null, "", state, new LogPosition(1, index));
	}

	private static StatementReply failed(StatementError error, SessionState state) {
		return new StatementReply(List.of(), null, error, "", state, new LogPosition(1, 1));
	}

	private ReplyMatcher.Match receive(StatementReply reply, boolean repetitionsExpected, long milliseconds) {
		ReplyMatcher.Match match = this.matcher.received(reply, this.matcher.commandsSent(), repetitionsExpected,
				TimeUnit.MILLISECONDS.toNanos(milliseconds));
		this.completed.addAll(match.completed());
		for (int probe = 0; probe < match.probes(); probe++) {
			this.matcher.sent(ReplyForm.SETTING);
		}
		return match;
	}

	/**
	 * Guards against a write that is reported as refused, though it runs, because the
	 * link was interrupted between a refusal and its repetition.
	 */
	@Test
	void refusalRepeatedAfterAnInterruptedLinkIsNotBelieved() {
		this.matcher.sent(ReplyForm.STATEMENT);
		receive(failed(StatementError.OVERLOADED, SessionState.IDLE), true, 0);
		this.matcher.sent(ReplyForm.STATEMENT);
		receive(failed(StatementError.OVERLOADED, SessionState.IDLE), true, 1200);
		assertThat(this.completed).hasSize(1);
	}

	/**
	 * Guards against a write that is reported as refused, though it runs, because its
	 * probe is answered by a repetition too.
	 */
	@Test
	void firstRepeatedRefusalIsNotBelievedBecauseOfARepeatedProbe() {
		this.matcher.sent(ReplyForm.SETTING);
		receive(done(SessionState.IDLE, 1), false, 0);
		this.matcher.sent(ReplyForm.STATEMENT);
		receive(failed(StatementError.OVERLOADED, SessionState.IDLE), false, 1);
		this.matcher.sent(ReplyForm.STATEMENT);
		receive(failed(StatementError.OVERLOADED, SessionState.IDLE), false, 2);
		receive(done(SessionState.IDLE, 1), false, 3);
		assertThat(this.completed).hasSize(2);
	}

	/**
	 * Guards against an old log position that is taken for the present one of the
	 * primary, so that reads at replicas may lack acknowledged commits.
	 */
	@Test
	void firstRepeatedBeginWithAnOutdatedPositionIsNotBelieved() {
		this.matcher.sent(ReplyForm.BEGIN);
		receive(done(SessionState.TRANSACTION, 1), false, 0);
		this.matcher.sent(ReplyForm.COMMIT);
		receive(proven("a", SessionState.IDLE, 2), false, 1);
		this.matcher.sent(ReplyForm.BEGIN);
		receive(done(SessionState.TRANSACTION, 1), false, 2);
		assertThat(this.completed).hasSize(2);
	}

	/**
	 * Guards against statements outside their transaction because as many begins are
	 * repeated as probes are sent.
	 */
	@Test
	void beginIsNotBelievedBecauseOfThreeRepetitions() {
		begin(true, 0);
		begin(true, 10);
		int before = this.completed.size();
		this.matcher.sent(ReplyForm.BEGIN);
		for (int copy = 0; copy < 3; copy++) {
			receive(done(SessionState.TRANSACTION, 1), true, 20 + copy);
		}
		assertThat(this.completed).hasSize(before);
	}

	private void begin(boolean expected, long at) {
		this.matcher.sent(ReplyForm.BEGIN);
		ReplyMatcher.Match match = receive(done(SessionState.TRANSACTION, 1), expected, at);
		for (int probe = 0; probe < match.probes(); probe++) {
			receive(done(SessionState.TRANSACTION, 1), expected, at);
		}
		this.matcher.sent(ReplyForm.ROLLBACK);
		match = receive(done(SessionState.IDLE, 1), expected, at + 1);
		for (int probe = 0; probe < match.probes(); probe++) {
			receive(done(SessionState.IDLE, 1), expected, at + 1);
		}
	}

	/**
	 * Guards against a connection that is closed because two transactions fail in the
	 * same way, though the member repeats nothing.
	 */
	@Test
	void secondFailedTransactionOfAMemberThatRepeatsNoneKeepsItsConnection() {
		begin(false, 0);
		this.matcher.sent(ReplyForm.BEGIN);
		receive(done(SessionState.TRANSACTION, 1), false, 2);
		this.matcher.sent(ReplyForm.STATEMENT);
		receive(failed(StatementError.FAILED, SessionState.FAILED_TRANSACTION), false, 3);
		this.matcher.sent(ReplyForm.ROLLBACK);
		receive(done(SessionState.IDLE, 1), false, 4);
		this.matcher.sent(ReplyForm.BEGIN);
		receive(done(SessionState.TRANSACTION, 1), false, 5);
		this.matcher.sent(ReplyForm.STATEMENT);
		ReplyMatcher.Match match = receive(failed(StatementError.FAILED, SessionState.FAILED_TRANSACTION), false, 6);
		for (int time = 7; match.possible() && match.probes() > 0; time++) {
			match = receive(failed(StatementError.MALFORMED, SessionState.FAILED_TRANSACTION), false, time);
		}
		assertThat(match.possible()).isTrue();
	}

	/**
	 * Guards against commands that are never complete after the member has cut its log
	 * back.
	 */
	@Test
	void replyAfterTheLogWasCutBackCompletesItsCommand() {
		this.matcher.sent(ReplyForm.SETTING);
		receive(done(SessionState.IDLE, 8), true, 0);
		this.matcher.sent(ReplyForm.STATEMENT);
		receive(proven("a", SessionState.IDLE, 10), true, 10);
		this.matcher.sent(ReplyForm.SETTING);
		ReplyMatcher.Match match = receive(done(SessionState.IDLE, 8), true, 5000);
		assertThat(this.completed.size() == 3 || match.probes() > 0 || !match.possible()).isTrue();
	}

}
