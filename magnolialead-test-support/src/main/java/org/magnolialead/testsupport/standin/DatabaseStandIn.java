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
 * In-memory stand-in for one member of a database group. It serves HTTP/1.1 with JSON
 * bodies and replicates its records asynchronously between members. All state is confined
 * to one event loop thread.
 * <p>
 * The status response contains the position of the last received record; the position
 * headers of each response contain the position of the last applied record, which is the
 * last one that reads see. The two differ on a replica until the replication lag has
 * passed. Connections for replication and for control requests of tests do not count
 * towards the connection limit.
 */
public final class DatabaseStandIn implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAXIMUM_BODY_BYTES = 4 << 20;

	private static final int MAXIMUM_BATCH_RECORDS = 2_000;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final StandInSettings settings;

	private final FaultInjection faults;

	private final MemberStore store;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.group.next();

	private final SlotQueue slotQueue;

	private final LongPollQueue longPolls;

	private final Replicator replicator;

	private final Announcer announcer;

	private final ControlRequestHandler controlRequests;

	private final Set<StandInConnection> connections = new HashSet<>();

	private int limitedConnections;

	private int peakConnections;

	private int refusedConnections;

	private volatile boolean leaving;

	private EncodedResponse previousResponse;

	private Channel listener;

	/**
	 * Creates a stand-in without starting it.
	 * @param settings settings of the stand-in
	 */
	public DatabaseStandIn(StandInSettings settings) {
		this.settings = settings;
		this.faults = new FaultInjection(settings);
		this.store = new MemberStore(settings.role(), settings.term());
		this.slotQueue = new SlotQueue(this.eventLoop, settings.slots());
		this.longPolls = new LongPollQueue(this.eventLoop);
		HttpClient client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(CONNECT_TIMEOUT)
			.build();
		this.replicator = new Replicator(this.store, this.faults, this.eventLoop, client,
				this.longPolls::completeSatisfied);
		this.announcer = new Announcer(settings.announceAddresses(), client, this::description);
		this.controlRequests = new ControlRequestHandler(this.store, this.faults, this.replicator, this::statistics);
	}

	/**
	 * Starts to listen, to replicate from the configured primary and to announce the
	 * member.
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
		this.eventLoop.execute(() -> {
			if (!this.store.isPrimary()) {
				this.replicator.follow(this.settings.primary());
			}
			this.announcer.start(this.eventLoop);
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
	 * Registers a new connection.
	 * @param connection the connection
	 * @return {@code false} if the connection limit has been reached
	 */
	boolean connectionOpened(StandInConnection connection) {
		this.connections.add(connection);
		if (this.limitedConnections >= this.settings.connectionLimit()) {
			return false;
		}
		this.limitedConnections++;
		this.peakConnections = Math.max(this.peakConnections, this.limitedConnections);
		return true;
	}

	void excludeFromConnectionLimit() {
		this.limitedConnections--;
	}

	void connectionClosed(StandInConnection connection, boolean counted) {
		this.connections.remove(connection);
		if (counted) {
			this.limitedConnections--;
		}
	}

	long remainingConnectionCostNanoseconds(long openedAt) {
		long costNanoseconds = TimeUnit.MILLISECONDS.toNanos(this.settings.connectionCostMilliseconds());
		return openedAt + costNanoseconds - System.nanoTime();
	}

	/**
	 * Refuses a connection that exceeds the limit. The refusal is sent as a response, so
	 * that the client knows that its request was not executed.
	 * @param request first request on the connection
	 */
	void refuseConnection(StandInRequest request) {
		this.refusedConnections++;
		send(request, StandInResponse.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections"));
	}

	void handle(StandInRequest request) {
		try {
			dispatch(request);
		}
		catch (StatementException ex) {
			send(request, StandInResponse.error(HttpResponseStatus.UNPROCESSABLE_ENTITY, ex.getMessage()));
		}
	}

	private void dispatch(StandInRequest request) {
		if (request.path().startsWith("/control/")) {
			send(request, this.controlRequests.handle(request));
			return;
		}
		switch (request.method() + " " + request.path()) {
			case "GET /status" -> handleStatus(request);
			case "POST /execute" -> handleExecute(request);
			case "POST /transactions/begin" -> handleBegin(request);
			case "POST /transactions/commit" -> handleCommit(request);
			case "POST /transactions/rollback" -> handleRollback(request);
			case "POST /promote" -> handlePromote(request);
			case "POST /follow" -> handleFollow(request);
			case "POST /leave" -> handleLeave(request);
			case "GET /replication/records" -> handleReplicationRecords(request);
			default -> send(request, unknownPath(request));
		}
	}

	private StandInResponse unknownPath(StandInRequest request) {
		if (request.path().equals("/malformed")) {
			return StandInResponse.error(HttpResponseStatus.BAD_REQUEST, "body is not valid JSON");
		}
		return StandInResponse.error(HttpResponseStatus.NOT_FOUND, "unknown path " + request.path());
	}

	private void handleStatus(StandInRequest request) {
		LogPosition least = new LogPosition(request.number("least_term", 0), request.number("least_index", 0));
		long waitMilliseconds = request.number("wait_milliseconds", 0);
		this.longPolls.add(() -> this.store.lastReceivedPosition().includes(least), waitMilliseconds, () -> {
			if (!this.faults.statusFrozen) {
				send(request, StandInResponse.ok(memberStatus()));
			}
		});
	}

	private MemberStatus memberStatus() {
		return new MemberStatus(this.settings.group(), this.settings.member(), this.store.role(), this.store.term(),
				this.store.lastReceivedPosition());
	}

	private void handleExecute(StandInRequest request) {
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
		runInSlot(request, false, () -> StandInResponse.ok(this.store.evaluate(List.of(), statement)));
	}

	private void executeWrite(StandInRequest request, Statement statement) {
		if (!statement.operation().isWrite()) {
			throw new StatementException("a write must change data");
		}
		runInSlot(request, true, () -> {
			if (!this.store.isPrimary()) {
				return notPrimary();
			}
			return executeOnPrimary(List.of(statement));
		});
	}

	private void executeInTransaction(StandInRequest request, Statement statement) {
		StandInConnection connection = request.connection();
		runInSlot(request, statement.operation().isWrite(), () -> {
			List<Statement> transaction = connection.transaction();
			if (transaction == null) {
				return noTransaction();
			}
			ObjectNode result = this.store.evaluate(transaction, statement);
			if (statement.operation().isWrite()) {
				transaction.add(statement);
			}
			return StandInResponse.ok(result);
		});
	}

	private void handleBegin(StandInRequest request) {
		StandInConnection connection = request.connection();
		if (!this.store.isPrimary()) {
			send(request, notPrimary());
			return;
		}
		if (connection.transaction() != null) {
			send(request,
					StandInResponse.conflict("a transaction is already open on this connection", this.store.term()));
			return;
		}
		connection.beginTransaction();
		send(request, StandInResponse.ok(JsonNodeFactory.instance.objectNode()));
	}

	private void handleCommit(StandInRequest request) {
		StandInConnection connection = request.connection();
		runInSlot(request, true, () -> {
			List<Statement> transaction = connection.transaction();
			connection.endTransaction();
			if (transaction == null) {
				return noTransaction();
			}
			if (!this.store.isPrimary()) {
				return notPrimary();
			}
			if (transaction.isEmpty()) {
				return StandInResponse.ok(JsonNodeFactory.instance.objectNode().put("statements", 0));
			}
			StandInResponse response = executeOnPrimary(transaction);
			ObjectNode body = JsonNodeFactory.instance.objectNode().put("statements", transaction.size());
			return new StandInResponse(response.status(), body, response.position());
		});
	}

	private void handleRollback(StandInRequest request) {
		StandInConnection connection = request.connection();
		boolean open = connection.transaction() != null;
		connection.endTransaction();
		send(request, open ? StandInResponse.ok(JsonNodeFactory.instance.objectNode()) : noTransaction());
	}

	private StandInResponse executeOnPrimary(List<Statement> statements) {
		ObjectNode result = this.store.execute(statements);
		this.longPolls.completeSatisfied();
		return new StandInResponse(HttpResponseStatus.OK, result, this.store.lastReceivedPosition());
	}

	private StandInResponse notPrimary() {
		return StandInResponse.conflict("this member is not the primary", this.store.term());
	}

	private StandInResponse noTransaction() {
		return StandInResponse.conflict("no transaction is open on this connection", this.store.term());
	}

	private void handlePromote(StandInRequest request) {
		long term = requiredTerm(request);
		if (!this.store.promote(term)) {
			send(request,
					StandInResponse.conflict("the term must be greater than the member's term", this.store.term()));
			return;
		}
		this.replicator.follow("");
		this.longPolls.completeSatisfied();
		send(request, StandInResponse.ok(memberStatus()));
	}

	private void handleFollow(StandInRequest request) {
		long term = requiredTerm(request);
		String primary = request.body().path("primary").asText("");
		if (!primary.matches("[^:/\\s]+:[0-9]+")) {
			throw new StatementException("primary must have the form host:port");
		}
		boolean unchanged = this.store.role() == MemberRole.REPLICA && this.store.term() == term
				&& this.replicator.primary().equals(primary);
		if (!this.store.becomeReplica(term)) {
			send(request, StandInResponse.conflict("the member takes part in another term", this.store.term()));
			return;
		}
		this.connections.forEach(StandInConnection::endTransaction);
		if (!unchanged) {
			this.replicator.follow(primary);
		}
		this.longPolls.completeSatisfied();
		send(request, StandInResponse.ok(memberStatus()));
	}

	private long requiredTerm(StandInRequest request) {
		if (!request.body().path("term").isIntegralNumber()) {
			throw new StatementException("term must be a number");
		}
		return request.body().path("term").asLong();
	}

	private void handleLeave(StandInRequest request) {
		this.leaving = true;
		this.announcer.announce();
		send(request, StandInResponse.ok(description()));
	}

	private void handleReplicationRecords(StandInRequest request) {
		long term = request.number("term", -1);
		LogPosition last = new LogPosition(request.number("after_term", 0), request.number("after_index", 0));
		this.longPolls.add(
				() -> !this.store.contains(last) || this.store.lastReceivedPosition().index() > last.index()
						|| this.store.term() != term,
				request.number("wait_milliseconds", 0), () -> send(request, recordsAfter(term, last)));
	}

	private StandInResponse recordsAfter(long term, LogPosition last) {
		if (!this.store.isPrimary() || this.store.term() != term) {
			return StandInResponse.conflict("this member is not the primary of term " + term, this.store.term());
		}
		if (!this.store.contains(last)) {
			long keepUntil = this.store.commonIndexUpperBound(last);
			return StandInResponse.ok(new ReplicationBatch(false, keepUntil, List.of()).encode());
		}
		List<LogRecord> records = this.store.recordsAfter(last.index(), MAXIMUM_BATCH_RECORDS);
		return StandInResponse.ok(new ReplicationBatch(true, last.index(), records).encode());
	}

	private void runInSlot(StandInRequest request, boolean write, ResponseSupplier work) {
		this.slotQueue.submit(() -> write ? this.faults.writeMilliseconds : this.faults.readMilliseconds,
				() -> sendWithFaults(request, computeResponse(work)));
	}

	private StandInResponse computeResponse(ResponseSupplier work) {
		try {
			return work.get();
		}
		catch (StatementException ex) {
			return StandInResponse.error(HttpResponseStatus.UNPROCESSABLE_ENTITY, ex.getMessage());
		}
	}

	private void sendWithFaults(StandInRequest request, StandInResponse response) {
		EncodedResponse current = encode(request, response);
		EncodedResponse previous = this.previousResponse;
		this.previousResponse = current;
		if (this.faults.consumeDrop()) {
			if (this.faults.dropClosesConnection) {
				request.connection().close();
			}
			return;
		}
		EncodedResponse selected = (previous != null && this.faults.consumeSwap()) ? previous : current;
		Runnable transmission = () -> request.connection().send(request, selected);
		if (this.faults.consumeDelay()) {
			this.eventLoop.schedule(transmission, this.faults.responseDelayMilliseconds, TimeUnit.MILLISECONDS);
		}
		else {
			transmission.run();
		}
		if (this.faults.consumeDuplicate()) {
			transmission.run();
		}
	}

	private void send(StandInRequest request, StandInResponse response) {
		request.connection().send(request, encode(request, response));
	}

	private EncodedResponse encode(StandInRequest request, StandInResponse response) {
		LogPosition position = (response.position() != null) ? response.position() : this.store.lastAppliedPosition();
		try {
			return new EncodedResponse(request.requestId(), response.status(), JSON.writeValueAsBytes(response.body()),
					this.store.term(), position, this.settings.member());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode the response", ex);
		}
	}

	private MemberDescription description() {
		String announced = this.settings.announcedAddress();
		return this.settings.description(announced.isEmpty() ? address() : announced, this.leaving);
	}

	private ObjectNode statistics() {
		return JsonNodeFactory.instance.objectNode()
			.put("connections", this.limitedConnections)
			.put("mostConnections", this.peakConnections)
			.put("refusedConnections", this.refusedConnections)
			.put("mostRunning", this.slotQueue.peakRunning())
			.put("waiting", this.slotQueue.waiting())
			.put("mostWaiting", this.slotQueue.peakWaiting());
	}

	/**
	 * Work that runs in an execution slot and produces the response.
	 */
	@FunctionalInterface
	private interface ResponseSupplier {

		StandInResponse get();

	}

	/**
	 * Configures the pipeline of each accepted connection.
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
