package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the connections of a holder to one member under the load of 73 accounts of
 * different sizes, and counts the statements that open a connection. Time is in
 * nanoseconds. Opening a connection takes 12 ms, a statement 24 ms.
 */
class AccountAffinityTests {

	private static final int ACCOUNTS = 73;

	private static final int STATEMENTS = 20_000;

	private static final long DIAL = 12_000_000L;

	private static final long SERVICE = 24_000_000L;

	private static final ConnectionLimits LIMITS = new ConnectionLimits(7, 7, true);

	/**
	 * Guards against statements that open a connection each, as they do if each waiting
	 * statement in order of arrival gets the connection that becomes free first.
	 */
	@Test
	void accountsKeepTheirConnections() {
		for (int perSecond : new int[] { 12, 50, 100, 150, 200 }) {
			Result selected = new Holder(perSecond, ACCOUNTS, true).run();
			Result arrival = new Holder(perSecond, ACCOUNTS, false).run();
			System.out.printf("%d/s: selected %s, arrival order %s%n", perSecond, selected, arrival);
			assertThat(selected.opened()).isLessThan(arrival.opened());
			assertThat(selected.mostConnections()).isLessThanOrEqualTo(LIMITS.maximum());
			assertThat(selected.foreign()).isZero();
		}
	}

	/**
	 * Guards against holders that each open connections for all accounts.
	 */
	@Test
	void holderOfHalfTheAccountsOpensFewerConnections() {
		Result half = new Holder(100, ACCOUNTS / 2, true).run();
		Result all = new Holder(100, ACCOUNTS, true).run();
		System.out.printf("half of the accounts %s, all %s%n", half, all);
		assertThat(half.opened()).isLessThan(all.opened());
	}

	private record Result(int opened, int foreign, int mostConnections, long longestWaitMilliseconds,
			long meanWaitMicroseconds) {
	}

	private static final class Connection implements SelectableConnection {

		private final String account;

		private boolean free;

		private long releasedAt;

		private Connection(String account) {
			this.account = account;
		}

		@Override
		public String account() {
			return this.account;
		}

		@Override
		public boolean isFree() {
			return this.free;
		}

		@Override
		public boolean isFreeSoon() {
			return !this.free;
		}

		@Override
		public long releasedAt() {
			return this.releasedAt;
		}

		@Override
		public int alignmentCost(Map<String, String> sessionVariables) {
			return 0;
		}

	}

	private record Statement(String account, long arrivedAt) {
	}

	private record Event(long time, Runnable action) {
	}

	private static final class Holder {

		private final Random random = new Random(1);

		private final boolean affinity;

		private final double[] cumulative;

		private final long meanInterval;

		private final List<Connection> connections = new ArrayList<>();

		private final List<String> dialing = new ArrayList<>();

		private final List<Statement> waiting = new ArrayList<>();

		private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::time));

		private long now;

		private int arrived;

		private int served;

		private int opened;

		private int foreign;

		private int mostConnections;

		private long longestWait;

		private long totalWait;

		private Holder(int perSecond, int accounts, boolean affinity) {
			this.affinity = affinity;
			this.meanInterval = 1_000_000_000L / perSecond;
			this.cumulative = new double[accounts];
			double sum = 0;
			for (int number = 0; number < accounts; number++) {
				sum += 1.0 / (number + 1);
				this.cumulative[number] = sum;
			}
		}

		private Result run() {
			scheduleArrival();
			while (this.served < STATEMENTS) {
				Event event = this.events.remove();
				this.now = event.time();
				event.action().run();
				dispatch();
			}
			return new Result(this.opened, this.foreign, this.mostConnections, this.longestWait / 1_000_000,
					this.totalWait / this.served / 1_000);
		}

		private void scheduleArrival() {
			this.arrived++;
			if (this.arrived <= STATEMENTS) {
				long interval = (long) (-Math.log(1 - this.random.nextDouble()) * this.meanInterval);
				at(interval, () -> {
					this.waiting.add(new Statement(account(), this.now));
					scheduleArrival();
				});
			}
		}

		private String account() {
			double drawn = this.random.nextDouble() * this.cumulative[this.cumulative.length - 1];
			int number = 0;
			while (this.cumulative[number] < drawn) {
				number++;
			}
			return "account-" + number;
		}

		private void at(long delay, Runnable action) {
			this.events.add(new Event(this.now + delay, action));
		}

		private void dispatch() {
			Map<String, Integer> ahead = new HashMap<>();
			for (Statement statement : List.copyOf(this.waiting)) {
				Optional<Connection> connection = ConnectionSelection.toUse(this.connections, statement.account(),
						Map.of());
				if (this.affinity && connection.isPresent()) {
					serve(statement, connection.get());
				}
				else if (this.affinity) {
					int before = ahead.merge(statement.account(), 1, Integer::sum) - 1;
					dial(ConnectionSelection.toDial(this.connections, this.dialing, statement.account(), before,
							LIMITS), statement.account());
				}
				else {
					takeAny(statement);
				}
				this.mostConnections = Math.max(this.mostConnections, this.connections.size() + this.dialing.size());
			}
		}

		// Arrival order without affinity: the first free place, whose connection is kept
		// only if it happens to be of the account.
		private void takeAny(Statement statement) {
			boolean room = this.connections.size() + this.dialing.size() < LIMITS.maximum();
			Optional<Connection> any = this.connections.stream().filter(Connection::isFree).findFirst();
			if (any.isPresent() && any.get().account().equals(statement.account())) {
				serve(statement, any.get());
			}
			else if (any.isPresent() || room) {
				any.ifPresent(this.connections::remove);
				this.waiting.remove(statement);
				open(statement.account(), (connection) -> run(statement, connection));
			}
		}

		private void dial(DialDecision<Connection> decision, String account) {
			if (decision.dials()) {
				this.connections.removeAll(decision.evicted());
				open(account, (connection) -> connection.free = true);
			}
		}

		private void open(String account, Consumer<Connection> user) {
			this.opened++;
			this.dialing.add(account);
			at(DIAL, () -> {
				this.dialing.remove(account);
				Connection connection = new Connection(account);
				connection.releasedAt = this.now;
				this.connections.add(connection);
				user.accept(connection);
			});
		}

		private void serve(Statement statement, Connection connection) {
			this.waiting.remove(statement);
			run(statement, connection);
		}

		private void run(Statement statement, Connection connection) {
			this.foreign += connection.account().equals(statement.account()) ? 0 : 1;
			this.longestWait = Math.max(this.longestWait, this.now - statement.arrivedAt());
			this.totalWait += this.now - statement.arrivedAt();
			connection.free = false;
			at(SERVICE, () -> {
				connection.free = true;
				connection.releasedAt = this.now;
				this.served++;
			});
		}

	}

}
