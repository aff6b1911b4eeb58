package org.magnolialead.daemon.session;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.daemon.session.ClientStatement.Verb;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a member connection that serves another client account than the one for
 * which it was opened.
 */
class AccountConnectionTests {

	private static final List<String> ACCOUNTS = List.of("account-1", "account-2", "account-3", "account-4",
			"account-5");

	/** Maximum number of connections to the primary in a fleet within the limit. */
	private static final int MAXIMUM = 3;

	private static AccountTable accounts() {
		Map<String, ClientAccount> accounts = new HashMap<>();
		ACCOUNTS.forEach((name) -> accounts.put(name,
				new ClientAccount(name, List.of(KeyDigest.of(name, StandardCharsets.US_ASCII)), null)));
		return new AccountTable(accounts);
	}

	/**
	 * Checks that each statement, whose text names its account, ran on a connection of
	 * that account. A commit must follow a statement of its transaction there.
	 * @param group the members
	 */
	private static void assertSeparated(FakeGroup group) {
		Map<Integer, FakeGroup.Execution> latest = new HashMap<>();
		for (FakeGroup.Execution execution : group.executions()) {
			if (execution.text().equals("COMMIT")) {
				assertThat(latest).containsKey(execution.connection());
				assertThat(latest.get(execution.connection()).inTransaction()).isTrue();
			}
			else {
				assertThat(execution.text()).contains(execution.account());
				assertThat(execution.account()).isNotEmpty();
			}
			latest.put(execution.connection(), execution);
		}
	}

	@Nested
	class OneDaemon {

		private final ManualLoop loop = new ManualLoop();

		private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

		private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
				this.loop::milliseconds, this.group, ForwardingLink.NONE);

		@BeforeEach
		void start() {
			this.service.start();
			applyView(1);
			this.loop.advance(1_100);
		}

		private void applyView(long number) {
			Map<String, Route> routes = Map.of("primary",
					new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800), "session",
					new Route("session", FakeGroup.NAME, FreshnessRule.SESSION, 2_500, 1, 800), "bounded",
					new Route("bounded", FakeGroup.NAME, FreshnessRule.MAXIMUM_AGE, 1_500, 2, 1_200));
			RouteTable table = new RouteTable(number, routes, Map.of(FakeGroup.NAME, 18), Map.of(), 3_000, accounts(),
					"");
			FleetConfiguration initial = FleetConfiguration.initial();
			FleetConfiguration configuration = new FleetConfiguration(number, initial.profiles(), initial.rankFloors(),
					initial.queueLimit(), table);
			this.service.viewChanged(
					new FleetView(number, configuration, Map.of(FakeGroup.NAME, this.group.view("", 0, "")), Map.of()));
		}

		private TestClient client(String database, String account) {
			return new TestClient(this.loop, this.service, database, account);
		}

		@Test
		void statementOpensAConnectionOfItsAccount() {
			for (String account : ACCOUNTS) {
				assertThat(client("primary", account).send(Verb.WRITE, account, "x").isDone()).isTrue();
				assertThat(client("bounded", account).send(Verb.READ, account, "").isDone()).isTrue();
			}
			assertSeparated(this.group);
		}

		/**
		 * Guards against accounts whose statements open a connection each, although their
		 * last connection is still open.
		 */
		@Test
		void idleConnectionServesItsAccountAgain() {
			client("primary", "account-1").send(Verb.WRITE, "account-1", "x");
			int opened = this.group.connectionsOpened();
			this.loop.advance(5_000);
			client("primary", "account-1").send(Verb.WRITE, "account-1", "y");
			assertThat(this.group.connectionsOpened()).isEqualTo(opened);
		}

		/**
		 * Guards against an account that waits for ever because the others keep the
		 * maximum number of connections in use.
		 */
		@Test
		void accountWithoutConnectionIsServedWhileOthersLoadTheMember() {
			List<Worker> workers = new ArrayList<>();
			for (String account : ACCOUNTS.subList(0, 4)) {
				for (int number = 0; number < 3; number++) {
					workers.add(new Worker(account, "primary"));
				}
			}
			for (int step = 0; step < 200; step++) {
				workers.forEach((worker) -> worker.sendWhenAnswered(Verb.WRITE));
				this.loop.advance(1);
			}
			Worker late = new Worker("account-5", "primary");
			late.sendWhenAnswered(Verb.WRITE);
			for (int step = 0; step < 200; step++) {
				workers.forEach((worker) -> worker.sendWhenAnswered(Verb.WRITE));
				this.loop.advance(1);
			}
			assertThat(late.client.replies()).hasSize(1).allMatch((reply) -> reply.isDone());
			assertThat(this.group.member("a").mostConnections()).isLessThanOrEqualTo(MAXIMUM);
			assertSeparated(this.group);
		}

		/**
		 * Guards against connections that are closed although the member refuses new
		 * ones.
		 */
		@Test
		void refusedConnectionDelaysTheNextAttemptOfAllAccounts() {
			for (String account : ACCOUNTS.subList(0, MAXIMUM)) {
				client("primary", account).send(Verb.WRITE, account, "x", 10);
			}
			FakeGroup.Member primary = this.group.member("a");
			assertThat(primary.openAccounts()).containsExactlyElementsOf(ACCOUNTS.subList(0, MAXIMUM));
			primary.refuseNewConnections(true);
			client("primary", "account-4").send(Verb.WRITE, "account-4", "x", 50);
			client("primary", "account-5").send(Verb.WRITE, "account-5", "x", 50);
			assertThat(primary.openAccounts()).containsExactly("account-2", "account-3");
			primary.refuseNewConnections(false);
			this.loop.advance(500);
			assertThat(client("primary", "account-4").send(Verb.WRITE, "account-4", "y").isDone()).isTrue();
			assertSeparated(this.group);
		}

		/**
		 * Guards against a connection that is closed for a more urgent request of another
		 * account before the request for which it was opened could use it.
		 */
		@Test
		void openedConnectionIsUsedBeforeItIsEvicted() {
			for (String account : ACCOUNTS.subList(1, MAXIMUM)) {
				TestClient client = client("primary", account);
				client.send(Verb.BEGIN);
				client.send(Verb.WRITE, account, "x", 10);
			}
			client("primary", "account-4").send(Verb.WRITE, "account-4", "x", 10);
			int opened = this.group.connectionsOpened();
			TestClient first = client("session", "account-1");
			first.send(Verb.WRITE, "account-1", "x", 0);
			TestClient urgent = client("primary", "account-4");
			urgent.send(Verb.WRITE, "account-4", "y", 50);
			assertThat(first.replies()).hasSize(1).allMatch((reply) -> reply.isDone());
			assertThat(urgent.replies()).hasSize(1).allMatch((reply) -> reply.isDone());
			assertThat(this.group.connectionsOpened() - opened).isEqualTo(2);
		}

		/**
		 * Guards against a read without a connection of its account that opens one to
		 * each replica.
		 */
		@Test
		void readOpensOneConnection() {
			client("bounded", "account-1").send(Verb.READ, "account-1", "");
			long replicas = List.of("b", "c")
				.stream()
				.filter((name) -> this.group.member(name).openAccounts().contains("account-1"))
				.count();
			assertThat(replicas).isOne();
		}

		/**
		 * Guards against reads that take the connections of writes while the queues of
		 * the replicas are full.
		 */
		@Test
		void readOpensNoConnectionToThePrimaryWhileReplicasAreOverloaded() {
			this.group.member("b").refuseStatements(100);
			this.group.member("c").refuseStatements(100);
			client("bounded", "account-1").send(Verb.READ, "account-1", "", 400);
			assertThat(this.group.member("a").openAccounts()).doesNotContain("account-1");
		}

		/**
		 * Guards against a retry, a hedged read or a promotion that moves a statement to
		 * a connection of another account.
		 * @param seed seed of the operations and failures
		 */
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
		void accountsStaySeparatedDuringFailures(long seed) {
			Random random = new Random(seed);
			List<Worker> workers = new ArrayList<>();
			for (String account : ACCOUNTS) {
				for (String database : List.of("primary", "session", "bounded")) {
					workers.add(new Worker(account, database));
				}
			}
			int before = this.group.executions().size();
			for (int step = 0; step < 3_000; step++) {
				Worker worker = workers.get(random.nextInt(workers.size()));
				worker.start(random);
				workers.forEach(Worker::sendNext);
				if (random.nextInt(40) == 0) {
					fail(random, List.of("a", "b", "c").get(random.nextInt(3)), step);
				}
				this.loop.advance(random.nextInt(4));
			}
			assertThat(this.group.executions()).hasSizeGreaterThan(before + 500);
			assertSeparated(this.group);
		}

		private void fail(Random random, String name, long step) {
			FakeGroup.Member member = this.group.member(name);
			switch (random.nextInt(9)) {
				case 0 -> member.refuseStatements(5);
				case 1 -> member.loseAnswers(1);
				case 2 -> member.closeConnections();
				case 3 -> member.stopResponding();
				case 4 -> member.partitioned(random.nextBoolean());
				case 5 -> this.group.promote(name);
				case 6 -> member.refuseNewConnections(random.nextBoolean());
				case 7 -> applyView(step + 2);
				default -> {
					List.of("a", "b", "c").forEach((any) -> this.group.member(any).respondAgain());
					List.of("a", "b", "c").forEach((any) -> this.group.member(any).partitioned(false));
					List.of("a", "b", "c").forEach((any) -> this.group.member(any).refuseNewConnections(false));
				}
			}
		}

		/**
		 * Client that sends its next statement once the one before is answered.
		 */
		private final class Worker {

			private final String account;

			private final TestClient client;

			private final Deque<Verb> next = new ArrayDeque<>();

			private int sent;

			Worker(String account, String database) {
				this.account = account;
				this.client = client(database, account);
			}

			void start(Random random) {
				if (!this.next.isEmpty()) {
					return;
				}
				switch (random.nextInt(3)) {
					case 0 -> this.next.add(Verb.READ);
					case 1 -> this.next.add(Verb.WRITE);
					default -> this.next.addAll(List.of(Verb.BEGIN, Verb.WRITE, Verb.READ, Verb.COMMIT));
				}
			}

			void sendNext() {
				if (!this.next.isEmpty() && this.client.replies().size() == this.sent) {
					send(this.next.remove());
				}
			}

			void sendWhenAnswered(Verb verb) {
				if (this.client.replies().size() == this.sent) {
					send(verb);
				}
			}

			private void send(Verb verb) {
				this.sent++;
				boolean named = verb == Verb.READ || verb == Verb.WRITE;
				this.client.send(verb, named ? this.account : "", "", 0);
			}

		}

	}

	@Nested
	class Fleet {

		private final SimulatedFleet fleet = new SimulatedFleet(accounts());

		private TestClient client(SessionService service, String account) {
			return new TestClient(this.fleet.loop(), service, "session", account);
		}

		@Test
		void forwardedStatementsRunOnConnectionsOfTheirAccounts() {
			for (int round = 0; round < 3; round++) {
				this.fleet.services().values().forEach((service) -> ACCOUNTS.forEach((account) -> {
					TestClient client = client(service, account);
					assertThat(client.send(Verb.WRITE, account, "x", 20).isDone()).isTrue();
					assertThat(client.send(Verb.READ, account, "", 20).isDone()).isTrue();
				}));
			}
			assertSeparated(this.fleet.group());
			assertThat(this.fleet.group().member("a").mostConnections())
				.isLessThanOrEqualTo(SimulatedFleet.CONNECTION_LIMIT);
		}

		/**
		 * Guards against relayed connections that serve all accounts, or that stay open
		 * besides the direct ones that replace them.
		 */
		@Test
		void relayedConnectionsAreSeparated() {
			this.fleet.group().member("a").partitioned(true);
			for (int round = 0; round < 4; round++) {
				ACCOUNTS
					.forEach((account) -> client(this.fleet.forwarding(), account).send(Verb.WRITE, account, "x", 600));
				if (round == 1) {
					assertThat(this.fleet.group().member("a").openConnections(true)).isPositive();
					this.fleet.group().member("a").partitioned(false);
				}
			}
			ACCOUNTS.forEach((account) -> assertThat(
					client(this.fleet.forwarding(), account).send(Verb.WRITE, account, "y").isDone())
				.isTrue());
			assertThat(this.fleet.group().member("a").openConnections(true)).isZero();
			assertThat(this.fleet.group().member("a").mostConnections())
				.isLessThanOrEqualTo(SimulatedFleet.CONNECTION_LIMIT);
			assertSeparated(this.fleet.group());
		}

		@Test
		void statementsRunOnConnectionsOfTheirAccountsWhenAHolderHasDied() {
			ACCOUNTS.forEach((account) -> client(this.fleet.forwarding(), account).send(Verb.WRITE, account, "x"));
			this.fleet.peers().kill(this.fleet.holderAddress());
			for (String account : ACCOUNTS) {
				TestClient client = client(this.fleet.forwarding(), account);
				assertThat(client.send(Verb.WRITE, account, "y", 500).isDone()).isTrue();
				client.send(Verb.BEGIN);
				client.send(Verb.WRITE, account, "z", 500);
				assertThat(client.send(Verb.COMMIT).isDone()).isTrue();
			}
			assertSeparated(this.fleet.group());
		}

	}

}
