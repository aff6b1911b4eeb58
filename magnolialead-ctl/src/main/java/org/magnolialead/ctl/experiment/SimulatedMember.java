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

	private static final long MAXIMUM_STATUS_WAIT_NANOSECONDS = 100 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private final VirtualClock clock;

	private final String name;

	private final Deque<Statement> waiting = new ArrayDeque<>();

	private final List<PendingStatusRequest> pendingStatusRequests = new ArrayList<>();

	private MemberRole role = MemberRole.REPLICA;

	private long term = 1;

	private LogPosition received = LogPosition.NONE;

	private LogPosition applied = LogPosition.NONE;

	private long latestApplyTime;

	private int running;

	private int connections;

	private int peakConnections;

	private boolean alive = true;

	SimulatedMember(VirtualClock clock, String name) {
		this.clock = clock;
		this.name = name;
		this.latestApplyTime = clock.now();
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
		this.pendingStatusRequests.clear();
	}

	void changeRole(MemberRole changed, long newTerm) {
		this.role = changed;
		this.term = newTerm;
		if (changed == MemberRole.PRIMARY) {
			this.applied = this.received;
		}
	}

	LogPosition append() {
		this.received = new LogPosition(this.term, this.received.index() + 1);
		this.applied = this.received;
		answerStatusRequests();
		return this.received;
	}

	/**
	 * Receives a record of the primary.
	 * @param position position of the record
	 * @param lagNanoseconds replication lag until reads see the record
	 */
	void replicate(LogPosition position, long lagNanoseconds) {
		if (!this.alive || this.role == MemberRole.PRIMARY || this.term != position.term()) {
			return;
		}
		this.received = position;
		answerStatusRequests();
		// Records become visible in the order of the log.
		long earliest = this.clock.now() + lagNanoseconds;
		this.latestApplyTime = (earliest - this.latestApplyTime > 0) ? earliest : this.latestApplyTime;
		this.clock.schedule(this.latestApplyTime - this.clock.now(),
				() -> this.applied = LogPosition.later(this.applied, position));
	}

	/**
	 * Requests the status. The member answers when its log extends beyond a position, or
	 * after the maximum wait.
	 * @param known position that the caller already knows
	 * @param answer receives the status; never called if the member has crashed
	 */
	void status(LogPosition known, Consumer<Status> answer) {
		if (!this.alive) {
			return;
		}
		if (!known.includes(this.received)) {
			answer.accept(currentStatus());
			return;
		}
		PendingStatusRequest request = new PendingStatusRequest(answer);
		this.pendingStatusRequests.add(request);
		this.clock.schedule(MAXIMUM_STATUS_WAIT_NANOSECONDS, () -> {
			if (this.pendingStatusRequests.remove(request)) {
				answer.accept(currentStatus());
			}
		});
	}

	/**
	 * Runs a statement as soon as a slot is free.
	 * @param serviceNanoseconds time for which the statement occupies the slot
	 * @param done called when the statement has ended; never called if the member crashes
	 */
	void execute(long serviceNanoseconds, Runnable done) {
		if (this.alive) {
			this.waiting.add(new Statement(serviceNanoseconds, done));
			startWaiting();
		}
	}

	void connectionOpened() {
		this.connections++;
		this.peakConnections = Math.max(this.peakConnections, this.connections);
	}

	void connectionsClosed(int number) {
		this.connections -= number;
	}

	int peakConnections() {
		return this.peakConnections;
	}

	private void startWaiting() {
		while (this.running < Deployment.SLOTS_PER_MEMBER && !this.waiting.isEmpty()) {
			Statement statement = this.waiting.poll();
			this.running++;
			this.clock.schedule(statement.serviceNanoseconds(), () -> {
				this.running--;
				if (this.alive) {
					statement.done().run();
					startWaiting();
				}
			});
		}
	}

	private void answerStatusRequests() {
		List<PendingStatusRequest> due = List.copyOf(this.pendingStatusRequests);
		this.pendingStatusRequests.clear();
		due.forEach((request) -> request.answer().accept(currentStatus()));
	}

	private Status currentStatus() {
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

		MemberStatus withAppliedPosition() {
			return new MemberStatus(this.status.group(), this.status.member(), this.status.role(), this.status.term(),
					this.applied);
		}

	}

	private record Statement(long serviceNanoseconds, Runnable done) {
	}

	/** Pending status request, compared by identity. */
	private static final class PendingStatusRequest {

		private final Consumer<Status> answer;

		PendingStatusRequest(Consumer<Status> answer) {
			this.answer = answer;
		}

		Consumer<Status> answer() {
			return this.answer;
		}

	}

}
