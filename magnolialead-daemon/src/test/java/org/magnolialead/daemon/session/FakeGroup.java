package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.ReplicationTerm;

/**
 * Simulated database group. Its members keep the state that sessions rely on: roles and
 * log positions, and the transaction, session variables and prepared statements of each
 * connection.
 */
final class FakeGroup implements MemberDialer {

	static final String NAME = "group";

	private static final long LATENCY_MICROSECONDS = 500;

	private final ManualLoop loop;

	private final Map<String, Member> members = new LinkedHashMap<>();

	/** Statements that members ran, in order. */
	private final List<Execution> executions = new ArrayList<>();

	private int connections;

	private boolean dialsThrow;

	FakeGroup(ManualLoop loop, String... names) {
		this.loop = loop;
		for (String name : names) {
			this.members.put(name, new Member(name));
		}
		this.members.get(names[0]).primary = true;
	}

	Member member(String name) {
		return this.members.get(name);
	}

	List<Execution> executions() {
		return this.executions;
	}

	/**
	 * Returns how many connections were opened so far.
	 * @return the number, including closed ones
	 */
	int connectionsOpened() {
		return this.connections;
	}

	GroupView view(String owner, long ownerEpoch, String confirmedPrimary, String... leaving) {
		Map<String, MemberDescription> descriptions = new HashMap<>();
		this.members.values()
			.forEach((member) -> descriptions.put(member.name,
					new MemberDescription(NAME, member.name, "10.0.0.1:" + (1_000 + this.members.size()), "zone", 2, 18,
							List.of(leaving).contains(member.name), member.primary, 1)));
		return new GroupView(NAME, 1, confirmedPrimary.isEmpty() ? 0 : 1, confirmedPrimary,
				confirmedPrimary.isEmpty() ? 0 : 1, "", owner, ownerEpoch, descriptions);
	}

	/**
	 * Lets a member lead the next term. The term of its log position remains that of its
	 * last commit until the next one.
	 * @param name name of the member
	 */
	void promote(String name) {
		ReplicationTerm term = newestTerm().next();
		Member promoted = member(name);
		this.members.values().forEach((member) -> {
			member.primary = member == promoted;
			member.term = term;
			member.pauseTerm = ReplicationTerm.NONE;
		});
	}

	private ReplicationTerm newestTerm() {
		return this.members.values().stream().map((member) -> member.term).max(Comparator.naturalOrder()).orElseThrow();
	}

	/**
	 * Makes connection attempts throw an unexpected exception.
	 * @param fails whether they throw
	 */
	void throwOnDial(boolean fails) {
		this.dialsThrow = fails;
	}

	@Override
	public void dial(MemberDescription description, String relay, String account, Consumer<DialResult> handler,
			MemberChannelListener listener) {
		if (this.dialsThrow) {
			throw new IllegalStateException("dial");
		}
		Member member = member(description.member());
		member.dialing++;
		member.countConnections();
		Consumer<DialResult> finished = (result) -> {
			member.dialing--;
			member.countConnections();
			handler.accept(result);
		};
		runAfterLatency(() -> open(member, relay, account, finished, listener));
	}

	private void open(Member member, String relay, String account, Consumer<DialResult> handler,
			MemberChannelListener listener) {
		if (relay != null && (member.down || member.unresponsive)) {
			member.failedDials++;
			handler.accept(new DialResult(null, DialError.UNREACHABLE_FROM_RELAY));
			return;
		}
		if (member.down) {
			member.failedDials++;
			handler.accept(new DialResult(null, DialError.UNREACHABLE));
			return;
		}
		if (member.unresponsive || member.partitioned && relay == null) {
			this.loop.schedule(() -> handler.accept(new DialResult(null, DialError.UNREACHABLE)), 500,
					TimeUnit.MILLISECONDS);
			return;
		}
		if (member.refusingConnections) {
			handler.accept(new DialResult(null, DialError.REFUSED));
			return;
		}
		if (member.connectionLimitReached) {
			handler.accept(new DialResult(null, DialError.TOO_MANY_CONNECTIONS));
			return;
		}
		this.connections++;
		Connection connection = new Connection(member, this.connections, relay != null, account, listener);
		member.open.add(connection);
		handler.accept(new DialResult(connection, null));
	}

	@Override
	public Optional<MemberStatus> status(StatementReply reply) {
		return StatusRow.parse(reply);
	}

	private void runAfterLatency(Runnable task) {
		this.loop.schedule(task, LATENCY_MICROSECONDS, TimeUnit.MICROSECONDS);
	}

	/**
	 * Statement that a member ran.
	 *
	 * @param member name of the member
	 * @param connection number of the connection
	 * @param text statement text as received
	 * @param sessionVariables session variables of the connection at that time
	 * @param inTransaction whether it ran in a transaction
	 * @param account client account for which the connection was opened
	 */
	record Execution(String member, int connection, String text, Map<String, String> sessionVariables,
			boolean inTransaction, String account) {
	}

	/**
	 * Member of the group.
	 */
	static final class Member {

		private final String name;

		private final List<Connection> open = new ArrayList<>();

		private boolean primary;

		private LogPosition position = new LogPosition(1, 0);

		private boolean down;

		private int failedDials;

		private boolean unresponsive;

		private boolean partitioned;

		private int answersToLose;

		private int statementsToRefuse;

		private int statusesToRefuse;

		private ReplicationTerm term = new ReplicationTerm(1);

		private ReplicationTerm pauseTerm = ReplicationTerm.NONE;

		private boolean connectionLimitReached;

		private boolean refusingConnections;

		private int dialing;

		private int mostConnections;

		private Predicate<MemberCommand.Kind> failing = (kind) -> false;

		private Predicate<MemberCommand.Kind> losingAnswers = (kind) -> false;

		private Member(String name) {
			this.name = name;
		}

		void position(long termOfCommit, long index) {
			this.position = new LogPosition(termOfCommit, index);
			this.term = ReplicationTerm.later(this.term, ReplicationTerm.ofCommit(this.position));
		}

		LogPosition position() {
			return this.position;
		}

		private void countConnections() {
			this.mostConnections = Math.max(this.mostConnections, this.open.size() + this.dialing);
		}

		/**
		 * Returns the greatest number of connections that were open or being opened at
		 * the same time.
		 * @return the number of connections
		 */
		int mostConnections() {
			return this.mostConnections;
		}

		/**
		 * Returns the accounts for which the open connections were opened.
		 * @return one name for each connection, the oldest first
		 */
		List<String> openAccounts() {
			return this.open.stream().map((connection) -> connection.account).toList();
		}

		/**
		 * Sets whether connection attempts are refused. Open connections stay open.
		 * @param refuses whether they are refused
		 */
		void refuseNewConnections(boolean refuses) {
			this.refusingConnections = refuses;
		}

		void closeConnections() {
			List.copyOf(this.open).forEach(Connection::close);
		}

		/**
		 * Closes the connections as a daemon does that has received a reply which belongs
		 * to no command.
		 */
		void refuseReplies() {
			List.copyOf(this.open).forEach((connection) -> {
				connection.listener.replyRefused();
				connection.close();
			});
		}

		/**
		 * Returns how many attempts to connect, direct or through a relay, have failed
		 * because the member is down.
		 * @return the number
		 */
		int failedDials() {
			return this.failedDials;
		}

		void crash() {
			this.down = true;
			List.copyOf(this.open).forEach(Connection::close);
		}

		void stopResponding() {
			this.unresponsive = true;
		}

		void respondAgain() {
			this.unresponsive = false;
		}

		/**
		 * Starts the member again after a crash, as a replica with its log.
		 */
		void restart() {
			this.down = false;
			this.primary = false;
		}

		boolean isPrimary() {
			return this.primary;
		}

		/**
		 * Tells whether the member is kept from receiving commits.
		 * @return {@code true} after it was paused
		 */
		boolean isPaused() {
			return this.pauseTerm.compareTo(this.term) > 0;
		}

		/**
		 * Makes the member refuse status requests as if its queue were full.
		 * @param count number of requests to refuse
		 */
		void refuseStatuses(int count) {
			this.statusesToRefuse = count;
		}

		/**
		 * Starts or ends a network partition between this daemon and the member. Relayed
		 * connections are not affected.
		 * @param isPartitioned whether the direct path is down
		 */
		void partitioned(boolean isPartitioned) {
			this.partitioned = isPartitioned;
		}

		long openTransactions() {
			return this.open.stream().filter((connection) -> connection.transaction).count();
		}

		long openConnections(boolean relayed) {
			return this.open.stream().filter((connection) -> connection.relayed == relayed).count();
		}

		/**
		 * Makes the member refuse statements as if its queue were full.
		 * @param count number of statements to refuse
		 */
		void refuseStatements(int count) {
			this.statementsToRefuse = count;
		}

		/**
		 * Sets whether the connection limit of the member is reached by others. If it is,
		 * all connections are closed and none is accepted.
		 * @param reached whether the limit is reached
		 */
		void connectionLimitReached(boolean reached) {
			this.connectionLimitReached = reached;
			if (reached) {
				List.copyOf(this.open).forEach(Connection::close);
			}
		}

		/**
		 * Closes all connections and refuses connection attempts with an error, as a
		 * member with a full queue does.
		 */
		void refuseConnections() {
			this.refusingConnections = true;
			closeConnections();
		}

		void loseAnswers(int count) {
			this.answersToLose = count;
		}

		/**
		 * Makes the member fail commands without running them.
		 * @param selection decides for each command whether it fails
		 */
		void fail(Predicate<MemberCommand.Kind> selection) {
			this.failing = selection;
		}

		/**
		 * Makes the member run commands without answering them or any later command of
		 * the connection.
		 * @param selection decides for each command whether its answer is lost
		 */
		void loseAnswersOf(Predicate<MemberCommand.Kind> selection) {
			this.losingAnswers = selection;
		}

	}

	private final class Connection implements MemberChannel {

		private final Member member;

		private final int number;

		private final boolean relayed;

		private final String account;

		private final MemberChannelListener listener;

		private final List<Consumer<StatementReply>> waitingHandlers = new ArrayList<>();

		private final Map<String, String> sessionVariables = new HashMap<>();

		private final Map<String, String> prepared = new HashMap<>();

		private boolean ended;

		private boolean transaction;

		private boolean mayWrite;

		private boolean hasWritten;

		private boolean silent;

		private Connection(Member member, int number, boolean relayed, String account, MemberChannelListener listener) {
			this.member = member;
			this.number = number;
			this.relayed = relayed;
			this.account = account;
			this.listener = listener;
		}

		@Override
		public void send(MemberCommand command, Consumer<StatementReply> handler) {
			if (this.ended) {
				runAfterLatency(() -> handler.accept(StatementReply.CONNECTION_LOST));
				return;
			}
			this.waitingHandlers.add(handler);
			runAfterLatency(() -> {
				if (this.ended || this.member.unresponsive || this.member.partitioned && !this.relayed) {
					return;
				}
				if (this.silent) {
					return;
				}
				StatementReply reply = this.member.failing.test(command.kind()) ? error(StatementError.FAILED)
						: run(command);
				if (this.member.losingAnswers.test(command.kind())) {
					this.silent = true;
					return;
				}
				boolean isClientStatement = command.kind() == MemberCommand.Kind.FORWARD
						|| command.kind() == MemberCommand.Kind.COMMIT || command.kind() == MemberCommand.Kind.EXECUTE;
				if (isClientStatement && this.member.answersToLose > 0) {
					this.member.answersToLose--;
					return;
				}
				runAfterLatency(() -> {
					if (this.waitingHandlers.remove(handler)) {
						handler.accept(reply);
					}
				});
			});
		}

		private StatementReply run(MemberCommand command) {
			return switch (command.kind()) {
				case BEGIN -> begin(true);
				case BEGIN_READ -> hasApplied(command.after()) ? begin(false) : error(StatementError.BEHIND);
				case ROLLBACK -> rollBack();
				case SET -> {
					this.sessionVariables.put(command.arguments().get(0), command.arguments().get(1));
					yield done();
				}
				case PREPARE_READ, PREPARE_WRITE -> {
					String kind = (command.kind() == MemberCommand.Kind.PREPARE_READ) ? "READ " : "WRITE ";
					this.prepared.put(command.arguments().get(0), kind + command.arguments().get(1));
					yield done();
				}
				case RESET -> {
					this.sessionVariables.clear();
					this.prepared.clear();
					yield done();
				}
				case STATUS -> status();
				case PAUSE -> pause(termOf(command));
				case RESUME -> resume();
				case DEMOTE -> demote(termOf(command));
				case FORWARD, COMMIT, EXECUTE -> runStatement(command);
			};
		}

		private static ReplicationTerm termOf(MemberCommand command) {
			return new ReplicationTerm(Long.parseLong(command.arguments().get(0)));
		}

		private StatementReply pause(ReplicationTerm term) {
			if (!this.member.primary && term.compareTo(newestTerm()) > 0) {
				this.member.pauseTerm = term;
			}
			return status();
		}

		private StatementReply resume() {
			this.member.pauseTerm = ReplicationTerm.NONE;
			return status();
		}

		private StatementReply demote(ReplicationTerm term) {
			if (term.compareTo(this.member.term) > 0) {
				this.member.primary = false;
			}
			return status();
		}

		private StatementReply status() {
			if (this.member.statusesToRefuse > 0) {
				this.member.statusesToRefuse--;
				return error(StatementError.OVERLOADED);
			}
			MemberStatus status = new MemberStatus(this.member.primary, this.member.term, this.member.position,
					this.member.pauseTerm);
			return new StatementReply(List.of(StatusRow.of(status)), "-", null, "", state(), this.member.position);
		}

		private StatementReply begin(boolean mayWrite) {
			if (mayWrite && !this.member.primary) {
				return error(StatementError.NOT_PRIMARY);
			}
			this.transaction = true;
			this.mayWrite = mayWrite;
			this.hasWritten = false;
			return done();
		}

		private StatementReply runStatement(MemberCommand command) {
			boolean unknown = command.kind() == MemberCommand.Kind.EXECUTE
					&& !this.prepared.containsKey(command.arguments().get(0));
			if (unknown) {
				return error(StatementError.NOT_PREPARED);
			}
			String text = (command.kind() == MemberCommand.Kind.EXECUTE)
					? this.prepared.get(command.arguments().get(0)) + " " + command.arguments().get(1)
					: command.arguments().get(0);
			if (this.member.statementsToRefuse > 0) {
				this.member.statementsToRefuse--;
				return error(StatementError.OVERLOADED);
			}
			boolean writes = text.startsWith("WRITE");
			if (!hasApplied(command.after())) {
				return error(StatementError.BEHIND);
			}
			if (!this.member.primary && (writes || this.transaction && this.mayWrite)) {
				return error(StatementError.NOT_PRIMARY);
			}
			FakeGroup.this.executions.add(new Execution(this.member.name, this.number, text,
					Map.copyOf(this.sessionVariables), this.transaction, this.account));
			if (text.equals("COMMIT")) {
				if (this.hasWritten) {
					advance();
				}
				this.transaction = false;
			}
			else if (writes && this.transaction) {
				this.hasWritten = true;
			}
			else if (writes) {
				advance();
			}
			return new StatementReply(List.of(), "proof-" + command.identifier(), null, "", state(),
					this.member.position);
		}

		private void advance() {
			this.member.position = new LogPosition(this.member.term.number(), this.member.position.index() + 1);
		}

		private boolean hasApplied(LogPosition after) {
			return after == null || this.member.position.includes(after);
		}

		private StatementReply rollBack() {
			this.transaction = false;
			return done();
		}

		private StatementReply done() {
			return new StatementReply(List.of(), "-", null, "", state(), this.member.position);
		}

		private StatementReply error(StatementError error) {
			return new StatementReply(List.of(), null, error, "", state(), this.member.position);
		}

		private SessionState state() {
			return this.transaction ? SessionState.TRANSACTION : SessionState.IDLE;
		}

		@Override
		public boolean isOpen() {
			return !this.ended;
		}

		@Override
		public void close() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			this.transaction = false;
			this.member.open.remove(this);
			List<Consumer<StatementReply>> lost = List.copyOf(this.waitingHandlers);
			this.waitingHandlers.clear();
			runAfterLatency(() -> {
				this.listener.closed();
				lost.forEach((handler) -> handler.accept(StatementReply.CONNECTION_LOST));
			});
		}

	}

}
