package org.magnolialead.daemon.session;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.daemon.session.ClientStatement.Verb;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sessions that go on without the key of a client account.
 */
class ClientAccountTests {

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	@BeforeEach
	void start() {
		this.service.start();
		configure(1, account("first", "key1", "key2"), account("second", "key3"));
		this.loop.advance(1_100);
	}

	private static ClientAccount account(String name, String... keys) {
		return new ClientAccount(name, List.of(keys).stream().map(ClientAccountTests::digest).toList(), null);
	}

	private static KeyDigest digest(String key) {
		return KeyDigest.of(key, StandardCharsets.US_ASCII);
	}

	private void configure(long number, ClientAccount... accounts) {
		Map<String, Route> routes = Map.of("primary",
				new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800), "open",
				new Route("open", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800, true));
		Map<String, ClientAccount> byName = new HashMap<>();
		List.of(accounts).forEach((account) -> byName.put(account.name(), account));
		RouteTable table = new RouteTable(number, routes, Map.of(FakeGroup.NAME, 18), Map.of(), 3_000,
				new AccountTable(byName), "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(number, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		this.service.viewChanged(
				new FleetView(number, configuration, Map.of(FakeGroup.NAME, this.group.view("", 0, "")), Map.of()));
	}

	private StatementError refusal(String database, String key) {
		return this.service.open(database, digest(key), new TestClient(this.loop, this.service, "open", "none"))
			.refusal();
	}

	private TestClient client(String key) {
		return new TestClient(this.loop, this.service, "primary", key);
	}

	@Test
	void unknownKeyIsRefusedUnlessTheRouteIsPublic() {
		assertThat(refusal("primary", "unknown")).isEqualTo(StatementError.NOT_AUTHORIZED);
		assertThat(refusal("open", "unknown")).isNull();
		assertThat(refusal("none", "unknown")).isEqualTo(StatementError.UNKNOWN_DATABASE);
		assertThat(client("key2").send(Verb.WRITE, "1", "x").isDone()).isTrue();
	}

	@Test
	void idleSessionIsClosedWhenItsKeyIsRemoved() {
		TestClient removed = client("key1");
		TestClient kept = client("key2");
		configure(2, account("first", "key2"));
		this.loop.advance(1);
		assertThat(removed.isClosed()).isTrue();
		assertThat(kept.isClosed()).isFalse();
		assertThat(kept.send(Verb.WRITE, "1", "x").isDone()).isTrue();
	}

	@Test
	void openTransactionMayEndShortlyAfterItsKeyIsRemoved() {
		TestClient client = client("key1");
		client.send(Verb.BEGIN);
		configure(2, account("first", "key2"));
		assertThat(client.send(Verb.WRITE, "1", "x").isDone()).isTrue();
		assertThat(client.send(Verb.COMMIT).isDone()).isTrue();
		assertThat(client.send(Verb.WRITE, "1", "y").error()).isEqualTo(StatementError.NOT_AUTHORIZED);
		this.loop.advance(1_000);
		assertThat(client.isClosed()).isTrue();
	}

	/**
	 * Guards against a client that keeps its access by leaving a transaction open.
	 */
	@Test
	void transactionThatDoesNotEndIsRolledBackAfterItsKeyIsRemoved() {
		TestClient client = client("key1");
		client.send(Verb.BEGIN);
		client.send(Verb.WRITE, "1", "x");
		configure(2, account("second", "key3"));
		this.loop.advance(1_100);
		assertThat(client.isClosed()).isTrue();
		assertThat(this.group.member("a").openTransactions()).isZero();
	}

	@Test
	void keyThatReturnsInTimeKeepsTheTransaction() {
		TestClient client = client("key1");
		client.send(Verb.BEGIN);
		client.send(Verb.WRITE, "1", "x");
		configure(2, account("second", "key3"));
		this.loop.advance(200);
		configure(3, account("first", "key1"));
		this.loop.advance(1_100);
		assertThat(client.send(Verb.COMMIT).isDone()).isTrue();
	}

}
