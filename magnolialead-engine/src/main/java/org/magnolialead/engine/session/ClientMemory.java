package org.magnolialead.engine.session;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Budget in bytes for what connections hold: partial and large messages, unread replies
 * and results. Small amounts are only counted. A large message has to be admitted before
 * it is read completely, and those that find no room wait in order of arrival. If the
 * budget is exceeded nevertheless, the connection that holds most has to be closed. Not
 * thread-safe.
 *
 * @param <C> type of the connections, which are compared by identity or equality
 */
public final class ClientMemory<C> {

	private final long budgetBytes;

	private final long largeMessageBytes;

	private final Map<C, Long> held = new LinkedHashMap<>();

	private final Set<C> largeMessages = new LinkedHashSet<>();

	private final Set<C> waiting = new LinkedHashSet<>();

	private long heldBytes;

	/**
	 * Creates a budget.
	 * @param budgetBytes maximum size in bytes of what all connections hold
	 * @param largeMessageBytes size in bytes that is counted for each large message until
	 * it is answered
	 */
	public ClientMemory(long budgetBytes, long largeMessageBytes) {
		if (budgetBytes <= 0 || largeMessageBytes <= 0) {
			throw new IllegalArgumentException(
					"sizes must be positive, found %d and %d".formatted(budgetBytes, largeMessageBytes));
		}
		this.budgetBytes = budgetBytes;
		this.largeMessageBytes = largeMessageBytes;
	}

	/**
	 * Returns the size of what all connections hold.
	 * @return the size in bytes
	 */
	public long heldBytes() {
		return this.heldBytes + this.largeMessages.size() * this.largeMessageBytes;
	}

	/**
	 * Returns the number of connections whose large message waits.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Sets the size of what a connection holds besides an admitted large message.
	 * @param connection the connection
	 * @param bytes size in bytes
	 */
	public void hold(C connection, long bytes) {
		Long before = (bytes > 0) ? this.held.put(connection, bytes) : this.held.remove(connection);
		this.heldBytes += bytes - ((before != null) ? before : 0);
	}

	/**
	 * Requests room for a large message. One is always admitted, so that each message
	 * within the limit of a message can be served.
	 * @param connection the connection that receives it
	 * @return {@code false} if it has to wait until {@link #nextAdmitted()} returns it
	 */
	public boolean admitLargeMessage(C connection) {
		if (this.largeMessages.contains(connection)) {
			return true;
		}
		if ((this.waiting.isEmpty() || this.waiting.contains(connection)) && hasRoom()) {
			this.waiting.remove(connection);
			this.largeMessages.add(connection);
			return true;
		}
		this.waiting.add(connection);
		return false;
	}

	private boolean hasRoom() {
		return this.largeMessages.isEmpty() || heldBytes() + this.largeMessageBytes <= this.budgetBytes;
	}

	/**
	 * Ends the large message of a connection, if it has one.
	 * @param connection the connection
	 */
	public void endLargeMessage(C connection) {
		this.largeMessages.remove(connection);
	}

	/**
	 * Admits the large message that has waited longest, if there is room.
	 * @return its connection, or empty if none waits or there is no room
	 */
	public Optional<C> nextAdmitted() {
		Iterator<C> iterator = this.waiting.iterator();
		if (!iterator.hasNext() || !hasRoom()) {
			return Optional.empty();
		}
		C next = iterator.next();
		iterator.remove();
		this.largeMessages.add(next);
		return Optional.of(next);
	}

	/**
	 * Removes a connection and all that it holds.
	 * @param connection the connection
	 */
	public void remove(C connection) {
		hold(connection, 0);
		this.largeMessages.remove(connection);
		this.waiting.remove(connection);
	}

	/**
	 * Returns the connection to close because the budget is exceeded: the one that holds
	 * most, with its large message.
	 * @return the connection, or empty within the budget
	 */
	public Optional<C> excessHolder() {
		if (heldBytes() <= this.budgetBytes) {
			return Optional.empty();
		}
		C largest = null;
		long largestBytes = 0;
		for (Map.Entry<C, Long> entry : this.held.entrySet()) {
			long bytes = entry.getValue() + (this.largeMessages.contains(entry.getKey()) ? this.largeMessageBytes : 0);
			if (bytes > largestBytes) {
				largest = entry.getKey();
				largestBytes = bytes;
			}
		}
		return Optional.ofNullable(largest);
	}

}
