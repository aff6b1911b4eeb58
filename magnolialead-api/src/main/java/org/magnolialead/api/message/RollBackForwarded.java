package org.magnolialead.api.message;

/**
 * One-way message that rolls back a transaction whose statements were forwarded over the
 * same connection.
 *
 * @param transaction number of the transaction on this connection
 */
public record RollBackForwarded(long transaction) {
}
