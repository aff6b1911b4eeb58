package org.magnolialead.daemon.session;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.daemon.quota.QuotaLink;
import org.magnolialead.daemon.session.ClientStatement.Verb;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sessions that run operations without a token, or that fail while one
 * waits for it.
 */
class QuotaSessionTests implements QuotaLink {

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	private final List<List<QuotaDemand>> requests = new ArrayList<>();

	private CompletableFuture<QuotaAnswer> answer;

	@BeforeEach
	void start() {
		this.service.requestTokensFrom(this);
		this.service.start();
		Map<String, ClientAccount> accounts = Map.of("limited",
				new ClientAccount("limited", keys("limited"), new RateLimit(10, 5)), "unlimited",
				new ClientAccount("unlimited", keys("unlimited"), null));
		RouteTable table = new RouteTable(1,
				Map.of("primary", new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 1_000)),
				Map.of(FakeGroup.NAME, 18), Map.of(), 3_000, new AccountTable(accounts), "");
		FleetConfiguration initial = FleetConfiguration.initial();
		this.service.viewChanged(new FleetView(1,
				new FleetConfiguration(1, initial.profiles(), initial.rankFloors(), initial.queueLimit(), table),
				Map.of(FakeGroup.NAME, this.group.view("", 0, "")), Map.of()));
		this.loop.advance(1_100);
	}

	private static List<KeyDigest> keys(String key) {
		return List.of(KeyDigest.of(key, StandardCharsets.US_ASCII));
	}

	@Override
	public CompletableFuture<QuotaAnswer> requestTokens(List<QuotaDemand> demands, long deadline) {
		this.requests.add(demands);
		this.answer = new CompletableFuture<>();
		return this.answer;
	}

	private TestClient client(String account) {
		return new TestClient(this.loop, this.service, "primary", account);
	}

	private void grant(int tokens, long retryAfterMicroseconds) {
		this.answer
			.complete(new QuotaAnswer("c:1", true, List.of(new QuotaGrant("limited", tokens, retryAfterMicroseconds))));
		this.loop.advance(20);
	}

	private int executions() {
		return this.group.executions().size();
	}

	/**
	 * Guards against costs for accounts without a limit.
	 */
	@Test
	void accountWithoutALimitTakesNoToken() {
		assertThat(client("unlimited").send(Verb.WRITE, "1", "x").isDone()).isTrue();
		assertThat(this.requests).isEmpty();
	}

	/**
	 * Guards against a statement that overtakes one that waits, and against a transaction
	 * whose statements each count.
	 */
	@Test
	void transactionTakesOneTokenAndNothingElseRunsMeanwhile() {
		TestClient client = client("limited");
		assertThat(client.send(Verb.SET, "language", "vi", 1).isDone()).isTrue();
		assertThat(client.send(Verb.BEGIN, "", "", 1)).isNull();
		client.send(Verb.WRITE, "1", "x", 1);
		client.send(Verb.WRITE, "2", "x", 1);
		client.send(Verb.COMMIT, "", "", 50);
		assertThat(client.replies()).hasSize(1);
		assertThat(executions()).isZero();
		assertThat(this.requests).containsExactly(List.of(new QuotaDemand("limited", 1, 0, 0)));
		grant(1, 0);
		this.loop.advance(200);
		assertThat(client.replies()).hasSize(5).allMatch(StatementReply::isDone);
		client.send(Verb.WRITE, "3", "x", 1);
		assertThat(this.requests).hasSize(2);
	}

	/**
	 * Guards against messages for operations that are rejected, and against rejections
	 * that go on after the leader's time.
	 */
	@Test
	void emptyBucketRejectsWithoutAMessage() {
		TestClient client = client("limited");
		assertThat(client.send(Verb.WRITE, "1", "x", 1)).isNull();
		grant(0, 100_000);
		assertThat(client.replies().get(0).error()).isEqualTo(StatementError.OVERLOADED);
		assertThat(client.send(Verb.BEGIN, "", "", 1).error()).isEqualTo(StatementError.OVERLOADED);
		assertThat(client.replies().get(1).state()).isEqualTo(SessionState.IDLE);
		assertThat(this.requests).hasSize(1);
		this.loop.advance(100);
		client.send(Verb.WRITE, "1", "x", 1);
		grant(1, 0);
		assertThat(client.replies().get(2).isDone()).isTrue();
		assertThat(executions()).isEqualTo(1);
	}

	/**
	 * Guards against a statement that waits for ever, and against a late answer that runs
	 * a statement that was rejected.
	 */
	@Test
	void statementWaitsForPartOfItsTimeout() {
		TestClient client = client("limited");
		assertThat(client.send(Verb.WRITE, "1", "x", 390)).isNull();
		this.loop.advance(20);
		assertThat(client.replies().get(0).error()).isEqualTo(StatementError.OVERLOADED);
		grant(1, 0);
		assertThat(executions()).isZero();
	}

	/**
	 * Guards against a token and a member connection for a client that has disconnected.
	 */
	@Test
	void disconnectedClientTakesNoToken() {
		TestClient first = client("limited");
		TestClient second = client("limited");
		first.send(Verb.WRITE, "1", "x", 1);
		second.send(Verb.WRITE, "2", "x", 1);
		first.session().clientDisconnected();
		grant(1, 0);
		assertThat(first.replies()).isEmpty();
		assertThat(second.replies()).hasSize(1).allMatch(StatementReply::isDone);
		assertThat(executions()).isEqualTo(1);
	}

	/**
	 * Guards against a shutdown that fails, or leaves a client without an answer, while a
	 * statement waits for a token.
	 */
	@Test
	void shutdownAnswersAStatementThatWaits() {
		for (Verb verb : List.of(Verb.WRITE, Verb.BEGIN)) {
			TestClient client = client("limited");
			client.send(verb, "1", "x", 1);
			assertThat(this.service.closeIdle()).isEqualTo(1);
			this.service.closeAll();
			assertThat(client.isClosed()).isTrue();
			assertThat(client.replies()).extracting(StatementReply::error).containsExactly(StatementError.OVERLOADED);
			assertThat(client.replies().get(0).state()).isEqualTo(SessionState.IDLE);
		}
		grant(2, 0);
		assertThat(executions()).isZero();
	}

}
