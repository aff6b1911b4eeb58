package org.magnolialead.daemon.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.transport.member.ConnectionPool;

/**
 * Pollers and connection pools of a group's members. Confined to the serial executor of
 * the group.
 */
final class GroupMembers {

	private final OwnerServices services;

	private final Executor serial;

	private final MemberPoller.Listener listener;

	private final Map<String, MemberPoller> pollers = new HashMap<>();

	private final Map<String, ConnectionPool> pools = new HashMap<>();

	GroupMembers(OwnerServices services, Executor serial, MemberPoller.Listener listener) {
		this.services = services;
		this.serial = serial;
		this.listener = listener;
	}

	void update(GroupView view) {
		this.pollers.values()
			.stream()
			.filter((poller) -> !hasSameConnectionSettings(poller.member(), view))
			.map((poller) -> poller.member().member())
			.toList()
			.forEach(this::remove);
		view.allMembers().stream().filter((member) -> !this.pollers.containsKey(member.member())).forEach(this::add);
	}

	/**
	 * Returns how many connections the owner may use for statements: half of the member's
	 * limit, so that a successor can connect while this owner's connections close, less
	 * the connection of the poller.
	 * @param member the member
	 * @return the number of connections
	 */
	static int statementConnections(MemberDescription member) {
		return Math.max(1, member.connectionLimit() / 2 - 1);
	}

	ConnectionPool pool(String member) {
		return this.pools.get(member);
	}

	MemberPoller poller(String member) {
		return this.pollers.get(member);
	}

	int reachableCount() {
		return (int) this.pollers.values().stream().filter(MemberPoller::isReachable).count();
	}

	void close() {
		this.pollers.keySet().stream().toList().forEach(this::remove);
	}

	/**
	 * Closes all statement connections to a member, which ends what is in progress there.
	 * @param member the member
	 */
	void reconnect(String member) {
		ConnectionPool pool = this.pools.get(member);
		MemberPoller poller = this.pollers.get(member);
		if (pool != null && poller != null) {
			pool.close();
			this.pools.put(member, newPool(poller.member()));
		}
	}

	private void add(MemberDescription member) {
		MemberPoller poller = new MemberPoller(this.services, this.serial, member, this.listener);
		this.pollers.put(member.member(), poller);
		this.pools.put(member.member(), newPool(member));
		poller.start();
	}

	private ConnectionPool newPool(MemberDescription member) {
		return new ConnectionPool(this.services.connector(), member.address(), statementConnections(member),
				this.services.clock());
	}

	private void remove(String member) {
		this.pollers.remove(member).close();
		this.pools.remove(member).close();
	}

	/**
	 * Compares all but the leaving flag, which does not concern connections.
	 * @param known the known member
	 * @param view the view of the group
	 * @return {@code true} if so
	 */
	private static boolean hasSameConnectionSettings(MemberDescription known, GroupView view) {
		return view.member(known.member())
			.filter((member) -> member.address().equals(known.address())
					&& member.connectionLimit() == known.connectionLimit())
			.isPresent();
	}

}
