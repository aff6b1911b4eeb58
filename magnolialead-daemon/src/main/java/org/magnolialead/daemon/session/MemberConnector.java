package org.magnolialead.daemon.session;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.session.ConnectBackoff;
import org.magnolialead.engine.session.ConnectionPurpose;
import org.magnolialead.engine.session.ConnectionSelection;
import org.magnolialead.engine.session.DialProgress;
import org.magnolialead.engine.session.MemberPath;

/**
 * Opens the connections of a pool: directly or, while the direct path is down, through
 * relays. Delays attempts after failures.
 */
final class MemberConnector {

	private static final System.Logger LOGGER = System.getLogger(MemberConnector.class.getName());

	private final MemberPool pool;

	private final SessionContext context;

	private final MemberPath path;

	private final ConnectBackoff backoff;

	/** Attempts in progress with the times in nanoseconds at which they have started. */
	private final Map<PooledConnection, Long> attempts = new LinkedHashMap<>();

	MemberConnector(MemberPool pool, SessionContext context) {
		this.pool = pool;
		this.context = context;
		this.path = new MemberPath(context.forwarder().firstRelayIndex());
		this.backoff = new ConnectBackoff(context.now());
	}

	boolean isDirectPathDown() {
		return this.path.isDirectPathDown();
	}

	boolean isDialing() {
		return !this.attempts.isEmpty();
	}

	/**
	 * Returns the client accounts of the attempts in progress that are expected to open a
	 * connection. While the direct path is down, a direct attempt may take until its
	 * timeout and must not delay relayed connections, so it is not counted.
	 * @return the account of each attempt
	 */
	List<String> dialing() {
		return this.attempts.keySet().stream().filter(this::isExpectedToOpen).map(PooledConnection::account).toList();
	}

	private boolean isExpectedToOpen(PooledConnection attempt) {
		return attempt.isRelayed() || !this.path.isDirectPathDown();
	}

	/**
	 * Returns the progress of the attempt for a client account.
	 * @param account name of the account, or an empty string
	 * @return the progress of the attempt that started last
	 */
	DialProgress dialProgress(String account) {
		OptionalLong startedAt = this.attempts.entrySet()
			.stream()
			.filter((attempt) -> isExpectedToOpen(attempt.getKey()) && attempt.getKey().account().equals(account))
			.mapToLong(Map.Entry::getValue)
			.reduce((earlier, later) -> later);
		if (startedAt.isEmpty()) {
			return DialProgress.NONE;
		}
		boolean late = this.context.now() - startedAt.getAsLong() > ConnectionSelection.LATE_DIAL_NANOSECONDS;
		return late ? DialProgress.LATE : DialProgress.IN_TIME;
	}

	/**
	 * Tells whether {@link #dial} would open a connection now.
	 * @param purpose purpose of the connection
	 * @return {@code false} while attempts are delayed
	 */
	boolean permits(ConnectionPurpose purpose) {
		return this.backoff.permits(purpose, this.context.now())
				&& (nextRelay(relays()).isPresent() || !isDialingDirect() || !this.path.isDirectPathDown());
	}

	/**
	 * Starts to open a connection unless attempts are delayed.
	 * @param purpose purpose of the connection
	 * @param account client account that it will serve, or an empty string
	 */
	void dial(ConnectionPurpose purpose, String account) {
		if (!permits(purpose)) {
			return;
		}
		List<String> relays = relays();
		OptionalInt relay = nextRelay(relays);
		open(relay.isPresent() ? relays.get(relay.getAsInt()) : null, account);
	}

	private OptionalInt nextRelay(List<String> relays) {
		return this.path.nextRelay(relays.size(), isDialingDirect(), this.context.now());
	}

	private boolean isDialingDirect() {
		return this.attempts.keySet().stream().anyMatch((attempt) -> !attempt.isRelayed());
	}

	/**
	 * Tries the direct path again if connections are relayed and the retry interval has
	 * passed.
	 * @param account client account that the connection will serve, or an empty string
	 */
	void tryDirectPath(String account) {
		boolean relaying = this.path.isDirectPathDown() && !relays().isEmpty();
		if (relaying && this.path.isDirectAttemptDue(this.context.now()) && !isDialingDirect()) {
			open(null, account);
		}
	}

	/**
	 * Records that the member did not answer over a path, and permits an attempt over the
	 * next one at once.
	 * @param relayed whether the path leads through a relay
	 */
	void pathTimedOut(boolean relayed) {
		if (relayed) {
			this.path.relayFailed();
		}
		else {
			directFailed("command timed out");
		}
		this.backoff.permitNow(this.context.now());
	}

	private List<String> relays() {
		return this.context.forwarder().relays(this.pool.member().group());
	}

	private void open(String relay, String account) {
		this.pool.requestSent();
		PooledConnection connection = new PooledConnection(this.pool, relay != null, account);
		this.attempts.put(connection, this.context.now());
		MemberDescription member = this.pool.member();
		try {
			this.context.dialer()
				.dial(member, relay, account, (result) -> dialFinished(connection, result), connection);
		}
		catch (RuntimeException ex) {
			LogEvent.MEMBER_UNREACHABLE.log(LOGGER, ex, member.group(), member.member(), ex);
			dialFinished(connection, new MemberDialer.DialResult(null,
					(relay != null) ? DialError.RELAY_FAILED : DialError.UNREACHABLE));
		}
	}

	private void dialFinished(PooledConnection connection, MemberDialer.DialResult result) {
		this.attempts.remove(connection);
		this.pool.dialFinished();
		boolean pathWorks = result.channel() != null || result.error().isPathWorking();
		if (connection.isRelayed()) {
			relayDialFinished(pathWorks);
		}
		else {
			directDialFinished(pathWorks);
		}
		if (result.channel() != null) {
			this.backoff.opened();
			this.pool.connected(connection, result.channel());
		}
		else {
			dialFailed(connection, result.error());
		}
	}

	private void dialFailed(PooledConnection connection, DialError error) {
		if (error.isPathWorking() && !error.isMemberDown()) {
			this.pool.responseReceived();
			this.backoff.refused(this.context.now());
			return;
		}
		if (error.isMemberDown()) {
			this.pool.health().connectionFailed();
		}
		this.backoff.failed(hasUntriedPath(connection), this.context.now());
		this.pool.dialFailed(error);
	}

	private void directDialFinished(boolean pathWorks) {
		if (!pathWorks) {
			directFailed("connection failed");
			return;
		}
		if (this.path.isDirectPathDown()) {
			MemberDescription member = this.pool.member();
			LogEvent.MEMBER_PATH_REGAINED.log(LOGGER, member.group(), member.member());
		}
		this.path.directOpened();
		this.pool.discardFree(true);
	}

	private void directFailed(String cause) {
		if (!this.path.isDirectPathDown()) {
			MemberDescription member = this.pool.member();
			LogEvent.MEMBER_PATH_LOST.log(LOGGER, member.group(), member.member(), cause, relays().size());
		}
		this.path.directFailed(this.context.now());
	}

	private void relayDialFinished(boolean pathWorks) {
		if (pathWorks) {
			this.path.relayOpened();
		}
		else {
			this.path.relayFailed();
		}
	}

	// Relays are tried one after the other without a delay.
	private boolean hasUntriedPath(PooledConnection failed) {
		boolean firstRelay = !failed.isRelayed() && this.backoff.hasNoFailure() && !relays().isEmpty();
		return firstRelay || this.path.hasUntriedRelay();
	}

}
