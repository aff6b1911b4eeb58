package org.magnolialead.ctl.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;

/**
 * Model of a database member: a fixed number of slots, a log, and status requests that
 * wait until the log has grown. Statements beyond the slots wait in order of arrival.
 */
final class SimulatedMember {

	private static final long WAIT_NANOSECONDS = 100 * VirtualTime.MILLISECOND;

	private final VirtualTime time;

	private final String name;

	private final Deque<Statement> waiting = new ArrayDeque<>();

	private final List<Poll> polls = new ArrayList<>();

	private MemberRole role = MemberRole.REPLICA;

	private long term = 1;

	private LogPosition received = LogPosition.NONE;

	private LogPosition applied = LogPosition.NONE;

	private long appliesAt;

	private int running;

	private int connections;

	private int greatestConnections;

	private boolean alive = true;

	SimulatedMember(VirtualTime time, String name) {
		this.time = time;
		this.name = name;
		this.appliesAt = time.now();
	}

	String name() {
		return this.name;
	}

	MemberRole role() {
		return this.role;
	}

	long term() {
		return this.term;
	}

	boolean isAlive() {
		return this.alive;
	}

	LogPosition received() {
		return this.received;
	}

	LogPosition applied() {
		return this.applied;
	}

	void crash() {
		this.alive = false;
		this.waiting.clear();
		this.polls.clear();
	}

	void become(MemberRole changed, long newTerm) {
		this.role = changed;
		this.term = newTerm;
		if (changed == MemberRole.PRIMARY) {
			this.applied = this.received;
		}
	}

	LogPosition append() {
		this.received = new LogPosition(this.term, this.received.index() + 1);
		this.applied = this.received;
		answerPolls();
		return this.received;
	}

	/**
	 * Receives a record of the primary.
	 * @param position position of the record
	 * @param lagNanoseconds time until reads see it
	 */
	void replicate(LogPosition position, long lagNanoseconds) {
		if (!this.alive || this.role == MemberRole.PRIMARY || this.term != position.term()) {
			return;
		}
		this.received = position;
		answerPolls();
		// Records become visible in the order of the log.
		long least = this.time.now() + lagNanoseconds;
		this.appliesAt = (least - this.appliesAt > 0) ? least : this.appliesAt;
		this.time.after(this.appliesAt - this.time.now(),
				() -> this.applied = LogPosition.later(this.applied, position));
	}

	/**
	 * Asks for the status once the log is beyond a position, or after the longest wait.
	 * @param known the position
	 * @param answer receives the answer; never called by a member that is down
	 */
	void status(LogPosition known, Consumer<Status> answer) {
		if (!this.alive) {
			return;
		}
		if (!known.includes(this.received)) {
			answer.accept(present());
			return;
		}
		Poll poll = new Poll(answer);
		this.polls.add(poll);
		this.time.after(WAIT_NANOSECONDS, () -> {
			if (this.polls.remove(poll)) {
				answer.accept(present());
			}
		});
	}

	/**
	 * Runs a statement as soon as a slot is free.
	 * @param serviceNanoseconds time for which it holds the slot
	 * @param done called at its end; never if the member goes down
	 */
	void execute(long serviceNanoseconds, Runnable done) {
		if (this.alive) {
			this.waiting.add(new Statement(serviceNanoseconds, done));
			startWaiting();
		}
	}

	void connectionOpened() {
		this.connections++;
		this.greatestConnections = Math.max(this.greatestConnections, this.connections);
	}

	void connectionsClosed(int number) {
		this.connections -= number;
	}

	int greatestConnections() {
		return this.greatestConnections;
	}

	private void startWaiting() {
		while (this.running < Deployment.SLOTS_PER_MEMBER && !this.waiting.isEmpty()) {
			Statement statement = this.waiting.poll();
			this.running++;
			this.time.after(statement.serviceNanoseconds(), () -> {
				this.running--;
				if (this.alive) {
					statement.done().run();
					startWaiting();
				}
			});
		}
	}

	private void answerPolls() {
		List<Poll> due = List.copyOf(this.polls);
		this.polls.clear();
		due.forEach((poll) -> poll.answer().accept(present()));
	}

	private Status present() {
		return new Status(new MemberStatus(SimulatedGroup.NAME, this.name, this.role, this.term, this.received),
				this.applied);
	}

	/**
	 * Answer to a status request.
	 *
	 * @param status status with the position that the member has received
	 * @param applied position that reads see
	 */
	record Status(MemberStatus status, LogPosition applied) {

		MemberStatus forReads() {
			return new MemberStatus(this.status.group(), this.status.member(), this.status.role(), this.status.term(),
					this.applied);
		}

	}

	private record Statement(long serviceNanoseconds, Runnable done) {
	}

	/** Waiting status request, identified by reference. */
	private static final class Poll {

		private final Consumer<Status> answer;

		Poll(Consumer<Status> answer) {
			this.answer = answer;
		}

		Consumer<Status> answer() {
			return this.answer;
		}

	}

}
