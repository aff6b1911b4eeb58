package org.magnolialead.daemon.owner;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.transport.member.MemberConnection;

/**
 * Open transactions of one group and the most recently ended ones. Confined to the serial
 * executor of the group.
 */
final class TransactionTable {

	/**
	 * Maximum duration of a transaction. Bounds how long a handover to another owner
	 * waits.
	 */
	static final long MAXIMUM_DURATION_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

	private static final int MAXIMUM_ENDED_TRANSACTIONS = 10_000;

	private static final int RANDOM_BYTES = 16;

	private final long ownerEpoch;

	private final SecureRandom random = new SecureRandom();

	private final Map<String, OpenTransaction> open = new HashMap<>();

	private final Map<String, OpenTransaction> ended = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, OpenTransaction> eldest) {
			return size() > MAXIMUM_ENDED_TRANSACTIONS;
		}

	};

	TransactionTable(long ownerEpoch) {
		this.ownerEpoch = ownerEpoch;
	}

	OpenTransaction open(String member, long term, MemberConnection connection, long now) {
		byte[] bytes = new byte[RANDOM_BYTES];
		this.random.nextBytes(bytes);
		String identifier = this.ownerEpoch + "-" + HexFormat.of().formatHex(bytes);
		OpenTransaction transaction = new OpenTransaction(identifier, member, term, now + MAXIMUM_DURATION_NANOSECONDS,
				connection);
		this.open.put(identifier, transaction);
		return transaction;
	}

	boolean wasCreatedInThisEpoch(String identifier) {
		return identifier.startsWith(this.ownerEpoch + "-");
	}

	Optional<OpenTransaction> find(String identifier) {
		return Optional.ofNullable(this.open.getOrDefault(identifier, this.ended.get(identifier)));
	}

	void end(OpenTransaction transaction, ExecuteAnswer answer) {
		transaction.ended(answer);
		this.open.remove(transaction.identifier());
		this.ended.put(transaction.identifier(), transaction);
	}

	int openCountAt(String member) {
		return (int) this.open.values().stream().filter((transaction) -> transaction.member().equals(member)).count();
	}

	int openCount() {
		return this.open.size();
	}

	List<OpenTransaction> ofTermUpTo(long term) {
		return this.open.values().stream().filter((transaction) -> transaction.term() <= term).toList();
	}

	List<OpenTransaction> expired(long now) {
		return this.open.values().stream().filter((transaction) -> transaction.deadline() - now <= 0).toList();
	}

	List<OpenTransaction> all() {
		return List.copyOf(this.open.values());
	}

}
