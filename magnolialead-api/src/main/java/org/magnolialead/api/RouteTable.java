package org.magnolialead.api;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Complete set of routes with a number that operators assign and increase.
 *
 * @param number number assigned by the operator; 0 if no table has been accepted yet
 * @param routes routes by database name
 * @param connectionLimits maximum number of connections to one member, by group
 * @param synchronousReplicas number of replicas that have received a commit before the
 * primary acknowledges it, by group; a group without an entry has none
 * @param idleTransactionMilliseconds time in milliseconds after which an idle transaction
 * may be ended
 * @param accounts client accounts, or {@code null} if clients need no key
 * @param document document sent by the operator, kept so that it can be returned
 * unchanged
 */
public record RouteTable(long number, Map<String, Route> routes, Map<String, Integer> connectionLimits,
		Map<String, Integer> synchronousReplicas, long idleTransactionMilliseconds, AccountTable accounts,
		String document) {

	/**
	 * Empty table that applies before the first change.
	 */
	public static final RouteTable EMPTY = new RouteTable(0, Map.of(), Map.of(), 1, "");

	public RouteTable {
		routes = Map.copyOf(routes);
		connectionLimits = Map.copyOf(connectionLimits);
		// Absent in tables that were stored by earlier releases.
		synchronousReplicas = (synchronousReplicas != null) ? Map.copyOf(synchronousReplicas) : Map.of();
		Objects.requireNonNull(document, "document must not be null");
		if (number < 0 || idleTransactionMilliseconds < 1) {
			throw new IllegalArgumentException(
					"number must not be negative and idleTransactionMilliseconds must be positive, found %d and %d"
						.formatted(number, idleTransactionMilliseconds));
		}
		for (Route route : routes.values()) {
			if (!connectionLimits.containsKey(route.group())) {
				throw new IllegalArgumentException(
						"route \"%s\" refers to the unknown group \"%s\"".formatted(route.database(), route.group()));
			}
		}
	}

	/**
	 * Creates a table of groups that replicate asynchronously, without client accounts.
	 * @param number number assigned by the operator
	 * @param routes routes by database name
	 * @param connectionLimits maximum number of connections to one member, by group
	 * @param idleTransactionMilliseconds time in milliseconds after which an idle
	 * transaction may be ended
	 * @param document document sent by the operator
	 */
	public RouteTable(long number, Map<String, Route> routes, Map<String, Integer> connectionLimits,
			long idleTransactionMilliseconds, String document) {
		this(number, routes, connectionLimits, Map.of(), idleTransactionMilliseconds, null, document);
	}

	/**
	 * Returns this table without the document from which it was read.
	 * @return the table
	 */
	public RouteTable withoutDocument() {
		return new RouteTable(this.number, this.routes, this.connectionLimits, this.synchronousReplicas,
				this.idleTransactionMilliseconds, this.accounts, "");
	}

	/**
	 * Returns how many replicas have received a commit before it is acknowledged.
	 * @param group name of the group
	 * @return the number of replicas, 0 for asynchronous replication
	 */
	public int synchronousReplicas(String group) {
		return this.synchronousReplicas.getOrDefault(group, 0);
	}

	/**
	 * Returns the route of a database.
	 * @param database name of the database
	 * @return the route, or empty if the table has none for this database
	 */
	public Optional<Route> route(String database) {
		return Optional.ofNullable(this.routes.get(database));
	}

	/**
	 * Returns the limit of a client account.
	 * @param account name of the account
	 * @return the limit, or empty if the account is unknown or has none
	 */
	public Optional<RateLimit> limit(String account) {
		return (this.accounts != null) ? this.accounts.account(account).map(ClientAccount::limit) : Optional.empty();
	}

}
