package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementReply;

/**
 * Matches the replies on a member connection to the commands that were sent on it. The
 * protocol does not name the command in a reply, and a member may repeat a reply, late.
 * The true replies arrive in the order of the commands, so each reply is either the one
 * to the next command or a repetition of an earlier reply. The matcher keeps every
 * interpretation of the received replies that is still possible, and a command is
 * complete once all of them agree on its reply. If the replies alone do not decide, it
 * requests probes: further commands whose replies rule out one of the interpretations.
 * Not thread-safe.
 */
public final class ReplyMatcher {

	/**
	 * Maximum number of probes that are sent together if the reply has to be certain.
	 * They cost fewer bytes and less time than a new connection.
	 */
	static final int MAXIMUM_CERTAIN_PROBES = 32;

	/**
	 * Maximum number of probes that are sent together because of a command that seems to
	 * have succeeded. If the replies to all of them agree with this, it is believed.
	 */
	static final int MAXIMUM_PROBES_AFTER_SUCCESS = 8;

	/**
	 * Maximum number of probes that are sent together to a member that is not known to
	 * repeat replies. If the replies to all of them agree with a reply, it is believed.
	 */
	static final int MAXIMUM_PROBES_WITHOUT_REPETITIONS = 3;

	/** Maximum number of interpretations, beyond which the replies are given up. */
	static final int MAXIMUM_INTERPRETATIONS = 32;

	private final ReplyHistory history = new ReplyHistory();

	private final Deque<Command> commands = new ArrayDeque<>();

	private List<Interpretation> interpretations = List.of(Interpretation.START);

	private LogPosition position;

	private long commandsSent;

	/** Whether probes were sent since the replies were last certain. */
	private boolean probing;

	/**
	 * Records that a command is sent.
	 * @param form form of its reply
	 */
	public void sent(ReplyForm form) {
		this.commandsSent++;
		this.commands.add(new Command(this.commandsSent, form));
	}

	/**
	 * Returns the number of commands that were sent so far. A reply that has begun to
	 * arrive belongs to none of the commands that are sent afterwards.
	 * @return the number
	 */
	public long commandsSent() {
		return this.commandsSent;
	}

	/**
	 * Matches a reply that has arrived completely.
	 * @param reply the reply
	 * @param sentBefore value of {@link #commandsSent()} when the reply began to arrive
	 * @param repetitionsExpected whether the member is known to repeat replies. If not, a
	 * success whose content does not matter is not suspected to be a repetition, unless
	 * its position shows it, and fewer probes have to agree.
	 * @param now monotonic time in nanoseconds
	 * @return what follows from the reply
	 */
	public Match received(StatementReply reply, long sentBefore, boolean repetitionsExpected, long now) {
		Arrival arrival = classify(reply, repetitionsExpected, now);
		this.history.add(arrival.fingerprint(), now);
		Map<Interpretation.Key, Interpretation> next = new HashMap<>();
		boolean mayBeReply = false;
		for (Interpretation interpretation : this.interpretations) {
			Command command = nextCommand(interpretation, sentBefore);
			boolean isReply = mayBeReply(interpretation, command, arrival);
			if (isReply) {
				mayBeReply = true;
				add(next, interpretation.withReply(reply));
			}
			boolean contentMatters = command != null && command.form().needsCertainty();
			boolean believed = isReply && !contentMatters && arrival.trusted();
			if (!believed && mayBeRepetition(interpretation, contentMatters, arrival)) {
				add(next, interpretation.withRepetition(arrival.fingerprint()));
			}
		}
		if (next.isEmpty() || next.size() > MAXIMUM_INTERPRETATIONS) {
			return Match.MISMATCH;
		}
		this.interpretations = List.copyOf(next.values());
		return decide(reply, !mayBeReply, repetitionsExpected, now);
	}

	private Arrival classify(StatementReply reply, boolean repetitionsExpected, long now) {
		long fingerprint = ReplyHistory.fingerprint(reply);
		boolean known = this.history.contains(fingerprint);
		boolean outdated = known && isOutdated(reply);
		boolean repetition = known && reply.hasProof()
				|| outdated && repetitionsExpected && this.history.possibleOldRepetitions(fingerprint, now) > 0;
		int possibleRepetitions = (known && !repetition)
				? this.history.possibleRepetitions(fingerprint, repetitionsExpected, now) : 0;
		boolean trusted = !repetitionsExpected && reply.isDone() && !outdated && this.interpretations.size() == 1;
		return new Arrival(reply, fingerprint, known, outdated, repetition, possibleRepetitions, trusted);
	}

	// The log of a member grows, unless the member was ahead of a new primary and has cut
	// its log back. Then a reply may equal one from before.
	private boolean isOutdated(StatementReply reply) {
		return reply.position() != null && this.position != null && reply.position().compareTo(this.position) < 0;
	}

	// Returns the command that waits for the next reply according to an interpretation,
	// if
	// it was sent in time for a reply.
	private Command nextCommand(Interpretation interpretation, long sentBefore) {
		Command next = this.commands.stream().skip(interpretation.replies().size()).findFirst().orElse(null);
		return (next != null && next.number() <= sentBefore) ? next : null;
	}

	private static boolean mayBeReply(Interpretation interpretation, Command command, Arrival arrival) {
		return !arrival.repetition() && command != null
				&& command.form().permits(arrival.reply(), interpretation.state());
	}

	private static boolean mayBeRepetition(Interpretation interpretation, boolean contentMatters, Arrival arrival) {
		return arrival.repetition() || arrival.outdated() || arrival.known() && contentMatters
				|| arrival.possibleRepetitions() > 2 * interpretation.repetitions(arrival.fingerprint());
	}

	private static void add(Map<Interpretation.Key, Interpretation> interpretations, Interpretation added) {
		interpretations.merge(added.key(), added, Interpretation::withFewerRepetitions);
	}

	private Match decide(StatementReply reply, boolean repeated, boolean repetitionsExpected, long now) {
		List<StatementReply> completed = removeCompleted();
		if (this.interpretations.size() == 1) {
			settle(reply, repeated);
			return new Match(true, repeated, completed, 0);
		}
		if (isReplyOutstanding()) {
			return new Match(true, repeated, completed, 0);
		}
		int probes = 1 + possibleProbeRepetitions(reply, repetitionsExpected, now);
		boolean first = !this.probing;
		this.probing = true;
		if (repetitionsExpected && needsCertainty()) {
			boolean decidable = first && probes <= MAXIMUM_CERTAIN_PROBES;
			return decidable ? new Match(true, repeated, completed, probes) : Match.MISMATCH;
		}
		int maximum = repetitionsExpected ? MAXIMUM_PROBES_AFTER_SUCCESS : MAXIMUM_PROBES_WITHOUT_REPETITIONS;
		return first ? new Match(true, repeated, completed, Math.min(probes, maximum))
				: believe(reply, repeated, completed);
	}

	// A statement must not get the reply of another one. A command that seems to have
	// succeeded rarely fails, and its reply is often equal to earlier ones.
	private boolean needsCertainty() {
		return this.commands.stream().anyMatch((command) -> command.form().needsCertainty())
				|| this.interpretations.stream().anyMatch(Interpretation::hasFailure);
	}

	// Until each reply has arrived in one of the interpretations, the next one may
	// decide.
	private boolean isReplyOutstanding() {
		return this.commands.isEmpty() || this.interpretations.stream().noneMatch(this::isComplete);
	}

	private boolean isComplete(Interpretation interpretation) {
		return interpretation.replies().size() == this.commands.size();
	}

	// Returns how many replies to probes may be repetitions. One probe more certainly
	// decides.
	private int possibleProbeRepetitions(StatementReply reply, boolean repetitionsExpected, long now) {
		StatementReply probeReply = new StatementReply(List.of(), StatementReply.NO_PROOF, null, "", reply.state(),
				reply.position());
		return this.history.possibleRepetitions(ReplyHistory.fingerprint(probeReply), repetitionsExpected, now);
	}

	// The replies to all probes agree with the interpretation in which each command is
	// answered.
	private Match believe(StatementReply reply, boolean repeated, List<StatementReply> completed) {
		List<Interpretation> complete = this.interpretations.stream().filter(this::isComplete).toList();
		if (complete.size() > 1) {
			return Match.MISMATCH;
		}
		this.interpretations = complete;
		// The position may be that of an earlier reply.
		removeCompleted()
			.forEach((believed) -> completed.add(believed.hasProof() ? believed : believed.withoutPosition()));
		settle(reply, repeated);
		return new Match(true, repeated, completed, 0);
	}

	// Called once a single interpretation is left.
	private void settle(StatementReply reply, boolean repeated) {
		Interpretation only = this.interpretations.get(0);
		only.repetitions().forEach(this.history::markRepetitions);
		this.interpretations = List.of(only.withoutRepetitions());
		this.probing = false;
		if (!repeated) {
			this.position = reply.position();
		}
	}

	private List<StatementReply> removeCompleted() {
		List<StatementReply> completed = new ArrayList<>();
		StatementReply agreed = agreedFirstReply();
		while (agreed != null) {
			completed.add(agreed);
			this.commands.remove();
			this.interpretations = this.interpretations.stream().map(Interpretation::withoutFirstReply).toList();
			agreed = agreedFirstReply();
		}
		return completed;
	}

	private StatementReply agreedFirstReply() {
		StatementReply first = this.interpretations.get(0).firstReply();
		boolean agreed = this.interpretations.stream()
			.allMatch((interpretation) -> Objects.equals(interpretation.firstReply(), first));
		return agreed ? first : null;
	}

	private record Command(long number, ReplyForm form) {
	}

	/**
	 * Reply that has arrived, and what is known of it from earlier ones.
	 *
	 * @param reply the reply
	 * @param fingerprint its fingerprint
	 * @param known whether an equal reply was received before
	 * @param outdated whether such a reply has a position that the log has passed
	 * @param repetition whether it is certainly a repetition
	 * @param possibleRepetitions number of equal replies that may still be repeated
	 * @param trusted whether a command whose content does not matter believes it at once
	 */
	private record Arrival(StatementReply reply, long fingerprint, boolean known, boolean outdated, boolean repetition,
			int possibleRepetitions, boolean trusted) {
	}

	/**
	 * What follows from a reply.
	 *
	 * @param possible whether the reply can be explained. If not, the connection has to
	 * be closed, and the outcome of its commands is unknown.
	 * @param repeated whether the reply is certainly a repetition of an earlier one
	 * @param completed replies to the oldest commands, which are complete with them, in
	 * order
	 * @param probes number of commands of the form {@link ReplyForm#SETTING} that have to
	 * be sent, so that their replies decide to which command this one belongs
	 */
	public record Match(boolean possible, boolean repeated, List<StatementReply> completed, int probes) {

		static final Match MISMATCH = new Match(false, false, List.of(), 0);

		public Match {
			completed = List.copyOf(completed);
		}

	}

	/**
	 * Assignment of the received replies to commands.
	 *
	 * @param replies replies to the oldest commands that are not complete
	 * @param state state of the connection after the latest of them
	 * @param repetitions number of replies that are repetitions, by fingerprint, as far
	 * as they are not marked in the history
	 */
	private record Interpretation(List<StatementReply> replies, SessionState state, Map<Long, Integer> repetitions) {

		static final Interpretation START = new Interpretation(List.of(), SessionState.IDLE, Map.of());

		Interpretation {
			replies = List.copyOf(replies);
			repetitions = Map.copyOf(repetitions);
		}

		int repetitions(long fingerprint) {
			return this.repetitions.getOrDefault(fingerprint, 0);
		}

		boolean hasFailure() {
			return this.replies.stream().anyMatch((reply) -> !reply.isDone());
		}

		StatementReply firstReply() {
			return this.replies.isEmpty() ? null : this.replies.get(0);
		}

		Interpretation withReply(StatementReply reply) {
			List<StatementReply> more = new ArrayList<>(this.replies);
			more.add(reply);
			return new Interpretation(more, reply.state(), this.repetitions);
		}

		Interpretation withRepetition(long fingerprint) {
			Map<Long, Integer> more = new HashMap<>(this.repetitions);
			more.merge(fingerprint, 1, Integer::sum);
			return new Interpretation(this.replies, this.state, more);
		}

		Interpretation withoutFirstReply() {
			return new Interpretation(this.replies.subList(1, this.replies.size()), this.state, this.repetitions);
		}

		Interpretation withoutRepetitions() {
			return new Interpretation(this.replies, this.state, Map.of());
		}

		// Permits all further repetitions that either interpretation permits.
		Interpretation withFewerRepetitions(Interpretation other) {
			Map<Long, Integer> fewer = new HashMap<>(this.repetitions);
			fewer.replaceAll((fingerprint, number) -> Math.min(number, other.repetitions(fingerprint)));
			return new Interpretation(this.replies, this.state, fewer);
		}

		Key key() {
			return new Key(this.replies, this.state);
		}

		record Key(List<StatementReply> replies, SessionState state) {
		}

	}

}
