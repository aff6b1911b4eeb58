package org.magnolialead.testsupport.standin;

import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;

/**
 * Stand-in for one member of a database group. It speaks HTTP/1.1 with JSON, keeps its
 * records in memory and copies them between members asynchronously. All state is used on
 * one event loop thread.
 * <p>
 * The status answer carries the position of the last record that the member has received;
 * the position headers of every answer carry the last record that reads see. Both differ
 * on a replica while the replication lag passes. Connections for replication and for test
 * controls do not count towards the connection limit.
 */
public final class DatabaseStandIn implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAXIMUM_BODY_BYTES = 4 << 20;

	private static final int BATCH_RECORDS = 2_000;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final StandInSettings settings;

	private final FaultControls faults;

	private final MemberStore store;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final SlotQueue slots;

	private final WaiterList waiters;

	private final Replicator replicator;

	private final Announcer announcer;

	private final ControlRequests controls;

	private final Set<StandInConnection> connections = new HashSet<>();

	private int countedConnections;

	private int mostConnections;

	private int refusedConnections;

	private volatile boolean leaving;

	private EncodedAnswer previousAnswer;

	private Channel listener;

	/**
	 * Creates a stand-in that does not listen yet.
	 * @param settings its settings
	 */
	public DatabaseStandIn(StandInSettings settings) {
		this.settings = settings;
		this.faults = new FaultControls(settings);
		this.store = new MemberStore(settings.role(), settings.term());
		this.slots = new SlotQueue(this.loop, settings.slots());
		this.waiters = new WaiterList(this.loop);
		HttpClient client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(CONNECT_TIMEOUT)
			.build();
		this.replicator = new Replicator(this.store, this.faults, this.loop, client, this.waiters::wake);
		this.announcer = new Announcer(settings.announceAddresses(), client, this::description);
		this.controls = new ControlRequests(this.store, this.faults, this.replicator, this::statistics);
	}

	/**
	 * Starts to listen, to follow the primary of the settings and to announce.
	 * @return this stand-in
	 */
	public DatabaseStandIn start() {
		this.listener = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ConnectionInitializer())
			.bind(this.settings.host(), this.settings.port())
			.syncUninterruptibly()
			.channel();
		this.loop.execute(() -> {
			if (!this.store.isPrimary()) {
				this.replicator.follow(this.settings.primary());
			}
			this.announcer.start(this.loop);
		});
		return this;
	}

	/**
	 * Returns the port that the stand-in listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns the address of the stand-in.
	 * @return the address in the form {@code host:port}
	 */
	public String address() {
		return this.settings.host() + ":" + port();
	}

	/**
	 * Closes the listener and all connections. Open transactions are rolled back.
	 */
	@Override
	public void close() {
		if (this.listener != null) {
			this.listener.close().syncUninterruptibly();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/**
	 * Counts a new connection.
	 * @param connection the connection
	 * @return {@code false} if the connection limit is reached
	 */
	boolean connectionOpened(StandInConnection connection) {
		this.connections.add(connection);
		if (this.countedConnections >= this.settings.connectionLimit()) {
			return false;
		}
		this.countedConnections++;
		this.mostConnections = Math.max(this.mostConnections, this.countedConnections);
		return true;
	}

	void connectionNotCounted() {
		this.countedConnections--;
	}

	void connectionClosed(StandInConnection connection, boolean counted) {
		this.connections.remove(connection);
		if (counted) {
			this.countedConnections--;
		}
	}

	long remainingConnectionCost(long openedAt) {
		long cost = TimeUnit.MILLISECONDS.toNanos(this.settings.connectionCostMilliseconds());
		return openedAt + cost - System.nanoTime();
	}

	/**
	 * Refuses a connection beyond the limit. The refusal is an answer, so that the client
	 * knows that its request was not executed.
	 * @param request first request on the connection
	 */
	void refuseConnection(StandInRequest request) {
		this.refusedConnections++;
		send(request, StandInAnswer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections"));
	}

	void handle(StandInRequest request) {
		try {
			dispatch(request);
		}
		catch (StatementException ex) {
			send(request, StandInAnswer.error(HttpResponseStatus.UNPROCESSABLE_ENTITY, ex.getMessage()));
		}
	}

	private void dispatch(StandInRequest request) {
		if (request.path().startsWith("/control/")) {
			send(request, this.controls.handle(request));
			return;
		}
		switch (request.method() + " " + request.path()) {
			case "GET /status" -> status(request);
			case "POST /execute" -> execute(request);
			case "POST /transactions/begin" -> begin(request);
			case "POST /transactions/commit" -> commit(request);
			case "POST /transactions/rollback" -> rollback(request);
			case "POST /promote" -> promote(request);
			case "POST /follow" -> follow(request);
			case "POST /leave" -> leave(request);
			case "GET /replication/records" -> records(request);
			default -> send(request, unknown(request));
		}
	}

	private StandInAnswer unknown(StandInRequest request) {
		if (request.path().equals("/malformed")) {
			return StandInAnswer.error(HttpResponseStatus.BAD_REQUEST, "body is not valid JSON");
		}
		return StandInAnswer.error(HttpResponseStatus.NOT_FOUND, "unknown path " + request.path());
	}

	private void status(StandInRequest request) {
		LogPosition least = new LogPosition(request.number("least_term", 0), request.number("least_index", 0));
		long wait = request.number("wait_milliseconds", 0);
		this.waiters.add(() -> this.store.received().includes(least), wait, () -> {
			if (!this.faults.statusFrozen) {
				send(request, StandInAnswer.ok(memberStatus()));
			}
		});
	}

	private MemberStatus memberStatus() {
		return new MemberStatus(this.settings.group(), this.settings.member(), this.store.role(), this.store.term(),
				this.store.received());
	}

	private void execute(StandInRequest request) {
		Statement statement = Statement.parse(request.requestId(), request.body().path("statement"));
		String kind = request.body().path("kind").asText("");
		switch (kind) {
			case "read" -> executeRead(request, statement);
			case "write" -> executeWrite(request, statement);
			case "transaction" -> executeInTransaction(request, statement);
			default -> throw new StatementException("unknown kind \"" + kind + "\"");
		}
	}

	private void executeRead(StandInRequest request, Statement statement) {
		if (statement.operation().isWrite()) {
			throw new StatementException("a read must not change data");
		}
		inSlot(request, false, () -> StandInAnswer.ok(this.store.evaluate(List.of(), statement)));
	}

	private void executeWrite(StandInRequest request, Statement statement) {
		if (!statement.operation().isWrite()) {
			throw new StatementException("a write must change data");
		}
		inSlot(request, true, () -> {
			if (!this.store.isPrimary()) {
				return notPrimary();
			}
			return written(List.of(statement));
		});
	}

	private void executeInTransaction(StandInRequest request, Statement statement) {
		StandInConnection connection = request.connection();
		inSlot(request, statement.operation().isWrite(), () -> {
			List<Statement> transaction = connection.transaction();
			if (transaction == null) {
				return noTransaction();
			}
			ObjectNode result = this.store.evaluate(transaction, statement);
			if (statement.operation().isWrite()) {
				transaction.add(statement);
			}
			return StandInAnswer.ok(result);
		});
	}

	private void begin(StandInRequest request) {
		StandInConnection connection = request.connection();
		if (!this.store.isPrimary()) {
			send(request, notPrimary());
			return;
		}
		if (connection.transaction() != null) {
			send(request,
					StandInAnswer.conflict("a transaction is already open on this connection", this.store.term()));
			return;
		}
		connection.beginTransaction();
		send(request, StandInAnswer.ok(JsonNodeFactory.instance.objectNode()));
	}

	private void commit(StandInRequest request) {
		StandInConnection connection = request.connection();
		inSlot(request, true, () -> {
			List<Statement> transaction = connection.transaction();
			connection.endTransaction();
			if (transaction == null) {
				return noTransaction();
			}
			if (!this.store.isPrimary()) {
				return notPrimary();
			}
			if (transaction.isEmpty()) {
				return StandInAnswer.ok(JsonNodeFactory.instance.objectNode().put("statements", 0));
			}
			StandInAnswer answer = written(transaction);
			ObjectNode body = JsonNodeFactory.instance.objectNode().put("statements", transaction.size());
			return new StandInAnswer(answer.status(), body, answer.position());
		});
	}

	private void rollback(StandInRequest request) {
		StandInConnection connection = request.connection();
		boolean open = connection.transaction() != null;
		connection.endTransaction();
		send(request, open ? StandInAnswer.ok(JsonNodeFactory.instance.objectNode()) : noTransaction());
	}

	private StandInAnswer written(List<Statement> statements) {
		ObjectNode result = this.store.execute(statements);
		this.waiters.wake();
		return new StandInAnswer(HttpResponseStatus.OK, result, this.store.received());
	}

	private StandInAnswer notPrimary() {
		return StandInAnswer.conflict("this member is not the primary", this.store.term());
	}

	private StandInAnswer noTransaction() {
		return StandInAnswer.conflict("no transaction is open on this connection", this.store.term());
	}

	private void promote(StandInRequest request) {
		long term = requiredTerm(request);
		if (!this.store.promote(term)) {
			send(request, StandInAnswer.conflict("the term must be greater than the member's term", this.store.term()));
			return;
		}
		this.replicator.follow("");
		this.waiters.wake();
		send(request, StandInAnswer.ok(memberStatus()));
	}

	private void follow(StandInRequest request) {
		long term = requiredTerm(request);
		String primary = request.body().path("primary").asText("");
		if (!primary.matches("[^:/\\s]+:[0-9]+")) {
			throw new StatementException("primary must have the form host:port");
		}
		boolean unchanged = this.store.role() == MemberRole.REPLICA && this.store.term() == term
				&& this.replicator.primary().equals(primary);
		if (!this.store.follow(term)) {
			send(request, StandInAnswer.conflict("the member takes part in another term", this.store.term()));
			return;
		}
		this.connections.forEach(StandInConnection::endTransaction);
		if (!unchanged) {
			this.replicator.follow(primary);
		}
		this.waiters.wake();
		send(request, StandInAnswer.ok(memberStatus()));
	}

	private long requiredTerm(StandInRequest request) {
		if (!request.body().path("term").isIntegralNumber()) {
			throw new StatementException("term must be a number");
		}
		return request.body().path("term").asLong();
	}

	private void leave(StandInRequest request) {
		this.leaving = true;
		this.announcer.announce();
		send(request, StandInAnswer.ok(description()));
	}

	private void records(StandInRequest request) {
		long term = request.number("term", -1);
		LogPosition last = new LogPosition(request.number("after_term", 0), request.number("after_index", 0));
		this.waiters.add(
				() -> !this.store.contains(last) || this.store.received().index() > last.index()
						|| this.store.term() != term,
				request.number("wait_milliseconds", 0), () -> send(request, recordsAfter(term, last)));
	}

	private StandInAnswer recordsAfter(long term, LogPosition last) {
		if (!this.store.isPrimary() || this.store.term() != term) {
			return StandInAnswer.conflict("this member is not the primary of term " + term, this.store.term());
		}
		if (!this.store.contains(last)) {
			long keepUntil = this.store.greatestPossiblyCommonIndex(last);
			return StandInAnswer.ok(new ReplicationBatch(false, keepUntil, List.of()).encode());
		}
		List<LogRecord> records = this.store.recordsAfter(last.index(), BATCH_RECORDS);
		return StandInAnswer.ok(new ReplicationBatch(true, last.index(), records).encode());
	}

	private void inSlot(StandInRequest request, boolean write, AnswerSupplier work) {
		this.slots.submit(() -> write ? this.faults.writeMilliseconds : this.faults.readMilliseconds,
				() -> sendExecuted(request, run(work)));
	}

	private StandInAnswer run(AnswerSupplier work) {
		try {
			return work.get();
		}
		catch (StatementException ex) {
			return StandInAnswer.error(HttpResponseStatus.UNPROCESSABLE_ENTITY, ex.getMessage());
		}
	}

	private void sendExecuted(StandInRequest request, StandInAnswer answer) {
		EncodedAnswer own = encode(request, answer);
		EncodedAnswer previous = this.previousAnswer;
		this.previousAnswer = own;
		if (this.faults.takeDropped()) {
			if (this.faults.dropClosesConnection) {
				request.connection().close();
			}
			return;
		}
		EncodedAnswer sent = (previous != null && this.faults.takeSwapped()) ? previous : own;
		Runnable sending = () -> request.connection().send(request, sent);
		if (this.faults.takeDelayed()) {
			this.loop.schedule(sending, this.faults.answerDelayMilliseconds, TimeUnit.MILLISECONDS);
		}
		else {
			sending.run();
		}
		if (this.faults.takeDuplicated()) {
			sending.run();
		}
	}

	private void send(StandInRequest request, StandInAnswer answer) {
		request.connection().send(request, encode(request, answer));
	}

	private EncodedAnswer encode(StandInRequest request, StandInAnswer answer) {
		LogPosition position = (answer.position() != null) ? answer.position() : this.store.applied();
		try {
			return new EncodedAnswer(request.requestId(), answer.status(), JSON.writeValueAsBytes(answer.body()),
					this.store.term(), position, this.settings.member());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode an answer", ex);
		}
	}

	private MemberDescription description() {
		String announced = this.settings.announcedAddress();
		return this.settings.description(announced.isEmpty() ? address() : announced, this.leaving);
	}

	private ObjectNode statistics() {
		return JsonNodeFactory.instance.objectNode()
			.put("connections", this.countedConnections)
			.put("mostConnections", this.mostConnections)
			.put("refusedConnections", this.refusedConnections)
			.put("mostRunning", this.slots.mostRunning())
			.put("waiting", this.slots.waiting())
			.put("mostWaiting", this.slots.mostWaiting());
	}

	/**
	 * Work that is done in a slot.
	 */
	@FunctionalInterface
	private interface AnswerSupplier {

		StandInAnswer get();

	}

	/**
	 * Sets up each accepted connection.
	 */
	private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
						new StandInConnection(DatabaseStandIn.this));
		}

	}

}
