package org.magnolialead.engine.queue;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.magnolialead.engine.queue.ServiceTimes.Work;
import org.magnolialead.engine.session.QueueAdmission;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates an overload of a group by 73 accounts and compares the fair queue with the
 * order of arrival and one service time for all work. Guards against a large account that
 * takes the capacity of the others, and against a rank that receives nothing.
 */
class FairQueueOverloadTests {

	private static final int SEEDS = 5;

	private static final int ACCOUNTS = 73;

	/** Account with 7.5 times its usual rate, the third largest. */
	private static final int HOT_ACCOUNT = 2;

	private static final double HOT_FACTOR = 7.5;

	private static final double OVERLOAD = 1.7;

	private static final int CONNECTIONS = 6;

	private static final long MILLISECOND = 1_000_000L;

	private static final long DURATION = 60_000 * MILLISECOND;

	private static final long TICK = 20 * MILLISECOND;

	private static final QueueLane LANE = new QueueLane(true, null);

	@Test
	void accountsAndRanksKeepTheirShareUnderOverload() {
		Result byArrival = new Result();
		Result fair = new Result();
		for (int seed = 1; seed <= SEEDS; seed++) {
			new Simulation(seed, false, byArrival).run();
			new Simulation(seed, true, fair).run();
		}
		byArrival.print("by arrival");
		fair.print("fair queue");
		for (Kind kind : Kind.values()) {
			assertThat(fair.shareOfGrants(kind)).as("share of the grants of %s", kind).isGreaterThanOrEqualTo(0.05);
		}
		assertThat(byArrival.shareOfGrants(Kind.BROWSING)).as("browsing by arrival").isLessThan(0.05);
		assertThat(fair.answered(Kind.STANDARD, Group.SMALL)).as("standard work of small accounts").isGreaterThan(0.95);
		assertThat(byArrival.answered(Kind.STANDARD, Group.SMALL)).as("the same by arrival").isLessThan(0.95);
		assertThat(fair.answered(Kind.URGENT, Group.SMALL)).as("urgent work of small accounts").isGreaterThan(0.95);
		assertThat(fair.late).as("answers after the deadline").isZero();
	}

	/** Types of work, in the order of their priorities. */
	private enum Kind {

		URGENT(102, 8, 250, 1_000), STANDARD(476, 24, 500, 1_000), BROWSING(177, 40, 1_200, 2_000);

		private final double ratePerSecond;

		private final long work;

		private final long target;

		private final long timeout;

		Kind(double ratePerSecond, long workMilliseconds, long targetMilliseconds, long timeoutMilliseconds) {
			this.ratePerSecond = ratePerSecond;
			this.work = workMilliseconds * MILLISECOND;
			this.target = targetMilliseconds * MILLISECOND;
			this.timeout = timeoutMilliseconds * MILLISECOND;
		}

	}

	/** Groups of accounts in the report. */
	private enum Group {

		HOT, LARGE, SMALL;

		private static Group of(int account) {
			return (account == HOT_ACCOUNT) ? HOT : (account < 10) ? LARGE : SMALL;
		}

	}

	private record Operation(Kind kind, int account, long arrivedAt, long service) {

		private long deadline() {
			return this.arrivedAt + this.kind.timeout;
		}

		private long queueTimeoutAt() {
			return QueueAdmission.queueTimeoutAt(this.arrivedAt, deadline());
		}

	}

	private record Completion(long at, Operation operation) {
	}

	private static final class Result {

		private final int[][] offered = new int[Kind.values().length][Group.values().length];

		private final int[][] answered = new int[Kind.values().length][Group.values().length];

		private final int[] inTarget = new int[Kind.values().length];

		private final int[] granted = new int[Kind.values().length];

		private int late;

		private void offered(Operation operation) {
			this.offered[operation.kind().ordinal()][Group.of(operation.account()).ordinal()]++;
		}

		private void answered(Operation operation, long now) {
			if (now > operation.deadline()) {
				this.late++;
				return;
			}
			this.answered[operation.kind().ordinal()][Group.of(operation.account()).ordinal()]++;
			if (now - operation.arrivedAt() <= operation.kind().target) {
				this.inTarget[operation.kind().ordinal()]++;
			}
		}

		private double shareOfGrants(Kind kind) {
			int all = 0;
			for (int number : this.granted) {
				all += number;
			}
			return (double) this.granted[kind.ordinal()] / all;
		}

		private double answered(Kind kind, Group group) {
			return (double) this.answered[kind.ordinal()][group.ordinal()]
					/ this.offered[kind.ordinal()][group.ordinal()];
		}

		private void print(String order) {
			for (Kind kind : Kind.values()) {
				int row = kind.ordinal();
				int all = 0;
				int done = 0;
				for (Group group : Group.values()) {
					all += this.offered[row][group.ordinal()];
					done += this.answered[row][group.ordinal()];
				}
				System.out.printf(
						"%s, %s: offered %d, answered %.3f, in target %.3f, of the grants %.3f; "
								+ "answered of the hot account %.3f, large %.3f, small %.3f%n",
						order, kind, all, (double) done / all, (double) this.inTarget[row] / all, shareOfGrants(kind),
						answered(kind, Group.HOT), answered(kind, Group.LARGE), answered(kind, Group.SMALL));
			}
			System.out.printf("%s: late answers %d%n", order, this.late);
		}

	}

	private static final class Simulation {

		private final Random random;

		private final boolean fair;

		private final Result result;

		private final FairQueue<Operation> queue = new FairQueue<>();

		private final ServiceTimes serviceTimes = new ServiceTimes();

		private final PriorityQueue<Operation> arrivals = new PriorityQueue<>(
				Comparator.comparingLong(Operation::arrivedAt));

		private final PriorityQueue<Completion> completions = new PriorityQueue<>(
				Comparator.comparingLong(Completion::at));

		private long smoothedService = 10 * MILLISECOND;

		private Simulation(int seed, boolean fair, Result result) {
			this.random = new Random(seed);
			this.fair = fair;
			this.result = result;
		}

		// The usual load uses the connections completely.
		private void run() {
			double usualWork = 0;
			double weights = 0;
			for (Kind kind : Kind.values()) {
				usualWork += kind.ratePerSecond * kind.work / 1e9;
			}
			for (int account = 0; account < ACCOUNTS; account++) {
				weights += 1.0 / (account + 1);
			}
			for (Kind kind : Kind.values()) {
				for (int account = 0; account < ACCOUNTS; account++) {
					double factor = OVERLOAD * ((account == HOT_ACCOUNT) ? HOT_FACTOR : 1);
					double share = CONNECTIONS / usualWork / (account + 1) / weights;
					addArrivals(kind, account, kind.ratePerSecond * share * factor);
				}
			}
			for (long now = 0; now < DURATION; now += TICK) {
				runUntil(now + TICK);
				removeOverdue(now + TICK);
			}
		}

		private void addArrivals(Kind kind, int account, double ratePerSecond) {
			double at = exponential(1e9 / ratePerSecond);
			while (at < DURATION) {
				long service = (long) (kind.work * (0.5 + this.random.nextDouble()));
				this.arrivals.add(new Operation(kind, account, (long) at, service));
				at += exponential(1e9 / ratePerSecond);
			}
		}

		private double exponential(double mean) {
			return -Math.log(1 - this.random.nextDouble()) * mean;
		}

		private void runUntil(long end) {
			while (true) {
				long arrival = this.arrivals.isEmpty() ? Long.MAX_VALUE : this.arrivals.peek().arrivedAt();
				long completion = this.completions.isEmpty() ? Long.MAX_VALUE : this.completions.peek().at();
				if (Math.min(arrival, completion) > end) {
					return;
				}
				if (completion <= arrival) {
					complete(this.completions.remove());
				}
				else {
					submit(this.arrivals.remove());
				}
				grant(Math.min(arrival, completion));
			}
		}

		private void complete(Completion completion) {
			Operation operation = completion.operation();
			this.smoothedService += (operation.service() - this.smoothedService) / 8;
			this.serviceTimes.record(operation.kind().name(), Work.STATEMENT, operation.service());
			this.result.answered(operation, completion.at());
		}

		private void submit(Operation operation) {
			this.result.offered(operation);
			int priority = operation.kind().ordinal();
			String account = this.fair ? "account" + operation.account() : "";
			boolean rejected = this.fair
					? QueueAdmission.rejects(this.queue.workAhead(priority, account, true), CONNECTIONS,
							operation.kind().timeout)
					: QueueAdmission.rejects(this.queue.requestsAhead(priority), CONNECTIONS, this.smoothedService,
							operation.kind().timeout);
			if (!rejected) {
				this.queue.add(operation, priority, account, LANE, expected(operation, this.smoothedService));
			}
		}

		private long expected(Operation operation, long unknown) {
			return this.serviceTimes.expected(operation.kind().name(), Work.STATEMENT, operation.kind().timeout,
					unknown);
		}

		private void grant(long now) {
			while (this.completions.size() < CONNECTIONS && !this.queue.isEmpty()) {
				FairQueue.Entry<Operation> next = this.queue.scan().next().orElseThrow();
				if (isTooLate(next.request(), now)) {
					this.queue.remove(next);
				}
				else {
					this.queue.grant(next);
					this.result.granted[next.request().kind().ordinal()]++;
					this.completions.add(new Completion(now + next.request().service(), next.request()));
				}
			}
		}

		private void removeOverdue(long now) {
			this.queue.entries()
				.stream()
				.filter((entry) -> now >= entry.request().queueTimeoutAt() || isTooLate(entry.request(), now))
				.forEach(this.queue::remove);
		}

		private boolean isTooLate(Operation operation, long now) {
			return this.fair && QueueAdmission.isTooLate(expected(operation, 0), operation.deadline() - now);
		}

	}

}
