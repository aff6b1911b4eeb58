package org.magnolialead.daemon.session;

import java.util.List;
import java.util.OptionalInt;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.engine.account.AccountAccess;
import org.magnolialead.engine.session.ConnectBackoff;
import org.magnolialead.engine.session.ConnectionPurpose;
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

	private int dialingDirect;

	private int dialingRelayed;

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
		return this.dialingDirect + this.dialingRelayed > 0;
	}

	/**
	 * Returns the number of attempts in progress that are expected to open a connection.
	 * While the direct path is down, a direct attempt may take until its timeout and must
	 * not delay relayed connections, so it is not counted.
	 * @return the number of attempts
	 */
	int dialing() {
		return this.path.isDirectPathDown() ? this.dialingRelayed : this.dialingDirect + this.dialingRelayed;
	}

	/**
	 * Starts to open a connection unless attempts are delayed.
	 * @param purpose purpose of the connection
	 */
	void dial(ConnectionPurpose purpose) {
		if (!this.backoff.permits(purpose, this.context.now())) {
			return;
		}
		List<String> relays = relays();
		OptionalInt relay = this.path.nextRelay(relays.size(), this.dialingDirect > 0, this.context.now());
		if (relay.isPresent()) {
			this.dialingRelayed++;
			open(relays.get(relay.getAsInt()));
		}
		else if (this.dialingDirect == 0 || !this.path.isDirectPathDown()) {
			dialDirect();
		}
	}

	/**
	 * Tries the direct path again if connections are relayed and the retry interval has
	 * passed.
	 */
	void tryDirectPath() {
		boolean relaying = this.path.isDirectPathDown() && !relays().isEmpty();
		if (relaying && this.path.isDirectAttemptDue(this.context.now()) && this.dialingDirect == 0) {
			dialDirect();
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

	private void dialDirect() {
		this.dialingDirect++;
		open(null);
	}

	private void open(String relay) {
		this.pool.requestSent();
		PooledConnection connection = new PooledConnection(this.pool, relay != null);
		MemberDescription member = this.pool.member();
		try {
			this.context.dialer()
				.dial(member, relay, AccountAccess.NO_ACCOUNT, (result) -> dialFinished(connection, result),
						connection);
		}
		catch (RuntimeException ex) {
			LogEvent.MEMBER_UNREACHABLE.log(LOGGER, ex, member.group(), member.member(), ex);
			dialFinished(connection, new MemberDialer.DialResult(null,
					(relay != null) ? DialError.RELAY_FAILED : DialError.UNREACHABLE));
		}
	}

	private void dialFinished(PooledConnection connection, MemberDialer.DialResult result) {
		this.pool.dialFinished();
		boolean pathWorks = result.channel() != null || result.error().isPathWorking();
		if (connection.isRelayed()) {
			this.dialingRelayed--;
			relayDialFinished(pathWorks);
		}
		else {
			this.dialingDirect--;
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
