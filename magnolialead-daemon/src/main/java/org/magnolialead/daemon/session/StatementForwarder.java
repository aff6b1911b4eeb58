package org.magnolialead.daemon.session;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ForwardStatementAnswer;
import org.magnolialead.api.message.ForwardStatementRequest;
import org.magnolialead.api.message.RollBackForwarded;
import org.magnolialead.engine.session.ConnectionHolders;
import org.magnolialead.engine.session.ConnectionShare;
import org.magnolialead.engine.session.PeerAvailability;

/**
 * Forwards statements to the daemons that hold the connections to their group. Must be
 * used on the serial executor only.
 */
final class StatementForwarder {

	/**
	 * Number of daemons that a statement is forwarded to before this daemon executes it
	 * itself.
	 */
	static final int MAXIMUM_ATTEMPTS = 3;

	private static final System.Logger LOGGER = System.getLogger(StatementForwarder.class.getName());

	/**
	 * Time by which the other daemon must answer before the deadline of the statement, so
	 * that its answer, which may be more exact than a timeout, arrives in time.
	 */
	private static final long ANSWER_MARGIN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

	private final String daemon;

	private final String zone;

	private final MonotonicClock clock;

	private final ForwardingLink link;

	private final PeerAvailability availability = new PeerAvailability();

	private final Map<String, List<String>> relaysByGroup = new HashMap<>();

	private Map<String, DaemonView> daemons = Map.of();

	private Map<String, Integer> connectionLimits = Map.of();

	private ConnectionHolders holders = new ConnectionHolders(List.of());

	private long lastTransaction;

	/**
	 * Creates a forwarder that knows no other daemon yet.
	 * @param daemon name of this daemon
	 * @param zone availability zone of this daemon
	 * @param clock clock for all deadlines
	 * @param link sends messages to other daemons
	 */
	StatementForwarder(String daemon, String zone, MonotonicClock clock, ForwardingLink link) {
		this.daemon = daemon;
		this.zone = zone;
		this.clock = clock;
		this.link = link;
	}

	void update(FleetView view) {
		this.connectionLimits = view.configuration().routes().connectionLimits();
		if (!view.daemons().equals(this.daemons)) {
			this.daemons = view.daemons();
			this.holders = new ConnectionHolders(this.daemons.values());
		}
		this.relaysByGroup.clear();
	}

	/**
	 * Returns the share of this daemon in the connections to a group.
	 * @param group the group
	 * @param limit maximum number of connections to a member from all daemons together
	 * @return the share
	 */
	ConnectionShare share(GroupView group, int limit) {
		return this.holders.share(group.group(), limit, this.daemon, this.zone, group.owner().equals(this.daemon));
	}

	/**
	 * Returns the daemons that can relay connections to the members of a group, because
	 * they have connections of their own.
	 * @param group name of the group
	 * @return peer addresses, not including this daemon
	 */
	List<String> relays(String group) {
		return this.relaysByGroup.computeIfAbsent(group, this::selectRelays);
	}

	private List<String> selectRelays(String group) {
		Integer limit = this.connectionLimits.get(group);
		Collection<DaemonView> candidates = (limit != null) ? this.holders.holders(group, limit) : List.of();
		return candidates.stream()
			.filter((candidate) -> !candidate.daemon().equals(this.daemon))
			.map(DaemonView::peerAddress)
			.toList();
	}

	/**
	 * Returns the index of the relay to try first, modulo the number of relays. It is
	 * derived from the name of this daemon, so that daemons do not all use the same
	 * relay.
	 * @return the index, not negative
	 */
	int firstRelayIndex() {
		return Math.floorMod(this.daemon.hashCode(), Short.MAX_VALUE);
	}

	/**
	 * Selects the daemon that serves a statement.
	 * @param group name of the group
	 * @param account client account of the session, or an empty string
	 * @return the daemon, or empty if this daemon uses connections of its own
	 */
	Optional<DaemonView> select(String group, String account) {
		Integer limit = this.connectionLimits.get(group);
		if (limit == null) {
			return Optional.empty();
		}
		return this.availability
			.select(this.holders.candidates(group, limit, this.zone, this.daemon, account), this.clock.nanoseconds())
			.filter((candidate) -> !candidate.daemon().equals(this.daemon));
	}

	long nextTransaction() {
		this.lastTransaction++;
		return this.lastTransaction;
	}

	/**
	 * Forwards a statement.
	 * @param holder daemon that serves it
	 * @param request the statement; its timeout is replaced by the time until the
	 * deadline
	 * @param deadline time in nanoseconds by which the statement must be answered
	 * @return a future of the answer. It fails with a {@link MagnolialeadException} whose
	 * code tells whether the statement may have run
	 */
	CompletableFuture<ForwardStatementAnswer> forward(DaemonView holder, ForwardStatementRequest request,
			long deadline) {
		long remaining = deadline - ANSWER_MARGIN_NANOSECONDS - this.clock.nanoseconds();
		ForwardStatementRequest limited = request.withTimeout(TimeUnit.NANOSECONDS.toMicros(Math.max(0, remaining)));
		CompletableFuture<ForwardStatementAnswer> answer = new CompletableFuture<>();
		this.link.request(holder.peerAddress(), limited, deadline).whenComplete((message, failure) -> {
			if (message instanceof ForwardStatementAnswer received) {
				answered(holder);
				answer.complete(received);
			}
			else {
				MagnolialeadException cause = asException(holder, message, failure);
				failed(holder, cause, deadline);
				answer.completeExceptionally(cause);
			}
		});
		return answer;
	}

	/**
	 * Rolls back a forwarded transaction.
	 * @param holder daemon that serves it
	 * @param transaction number of the transaction
	 */
	void rollBack(DaemonView holder, long transaction) {
		this.link.send(holder.peerAddress(), new RollBackForwarded(transaction));
	}

	private void answered(DaemonView holder) {
		if (this.availability.answered(holder)) {
			LogEvent.FORWARDING_REGAINED.log(LOGGER, holder.daemon());
		}
	}

	// A statement without an answer at its deadline says little about the other daemon:
	// its member may be slow, and a lost connection is noticed earlier.
	private void failed(DaemonView holder, MagnolialeadException cause, long deadline) {
		long now = this.clock.nanoseconds();
		if (cause.code() == ErrorCode.NO_MEMBER) {
			this.availability.notReady(holder, now);
			return;
		}
		boolean concernsDaemon = now - deadline < 0 && cause.code() != ErrorCode.REQUEST_TOO_LARGE;
		if (concernsDaemon && this.availability.failed(holder, now)) {
			LogEvent.FORWARDING_LOST.log(LOGGER, holder.daemon(), cause.code(), cause.getMessage());
		}
	}

	private static MagnolialeadException asException(DaemonView holder, Object message, Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof MagnolialeadException known) {
			return known;
		}
		String detail = (cause != null) ? String.valueOf(cause) : "unexpected answer " + message;
		return new MagnolialeadException(ErrorCode.NO_ANSWER, Step.FORWARD, holder.daemon(), detail);
	}

}
