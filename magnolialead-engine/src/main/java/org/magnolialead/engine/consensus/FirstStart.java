package org.magnolialead.engine.consensus;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ControlIdentity;

/**
 * Decides with which voters a seed starts the cluster at the first start of a fleet. All
 * seeds are given the same list, so each of them starts the same cluster with the same
 * voters, and the first leader needs the votes of a majority of the seeds. The loss of
 * one of three seeds at any time leaves a majority, and no second cluster can form beside
 * it. Not thread-safe.
 * <p>
 * Seeds without a durable folder never vote. A seed therefore waits until it has received
 * a message of another seed that votes; if all others are observers, it is the only
 * voter.
 */
public final class FirstStart {

	/**
	 * Start of the incarnation of a seed that takes part in the first start, followed by
	 * its address. The others must know it without a message, so it is not random.
	 */
	private static final String INCARNATION_PREFIX = "first-start:";

	private final List<String> seeds;

	private final String self;

	private final Set<String> observers = new HashSet<>();

	private boolean otherSeedVotes;

	/**
	 * Creates the decision of a seed that has received no message yet.
	 * @param seeds peer addresses of all seeds
	 * @param self peer address of this seed, which has a durable folder
	 * @throws IllegalArgumentException if the list does not contain {@code self}
	 */
	public FirstStart(List<String> seeds, String self) {
		this.seeds = seeds.stream().distinct().sorted().toList();
		this.self = Objects.requireNonNull(self, "self must not be null");
		if (!this.seeds.contains(self)) {
			throw new IllegalArgumentException("%s is not one of the seeds %s".formatted(self, seeds));
		}
	}

	/**
	 * Returns the incarnation of a seed that takes part in the first start.
	 * @param address peer address of the seed
	 * @return the incarnation
	 */
	public static String incarnation(String address) {
		return INCARNATION_PREFIX + address;
	}

	/**
	 * Returns the identity of a member with a durable folder. A seed of the first start
	 * is named by the address that it had then, because the other seeds did not know its
	 * name.
	 * @param name name of the daemon in its settings
	 * @param incarnation incarnation of its data folder
	 * @param address present peer address
	 * @return the identity
	 */
	public static ControlIdentity identity(String name, String incarnation, String address) {
		String identityName = incarnation.startsWith(INCARNATION_PREFIX)
				? incarnation.substring(INCARNATION_PREFIX.length()) : name;
		return new ControlIdentity(identityName, incarnation, address);
	}

	/**
	 * Records the sender of a message.
	 * @param message the message
	 */
	public void received(ConsensusMessage message) {
		String address = message.from().address();
		if (address.equals(this.self) || !this.seeds.contains(address)) {
			return;
		}
		if (message.from().observer()) {
			this.observers.add(address);
		}
		else {
			this.otherSeedVotes = true;
		}
	}

	/**
	 * Returns the state with which this seed starts the cluster.
	 * @param data encoded initial state, the same at all seeds
	 * @return the state, or empty while it is not known whether another seed votes
	 */
	public Optional<StoredState> initialState(byte[] data) {
		if (this.otherSeedVotes) {
			return Optional.of(state(this.seeds, data));
		}
		boolean onlyVoter = this.observers.size() == this.seeds.size() - 1;
		return onlyVoter ? Optional.of(state(List.of(this.self), data)) : Optional.empty();
	}

	private StoredState state(List<String> voters, byte[] data) {
		String text = "first start with the seeds " + String.join(",", this.seeds);
		String cluster = UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8)).toString();
		List<ControlIdentity> identities = voters.stream()
			.map((address) -> identity(address, incarnation(address), address))
			.toList();
		return StoredState.bootstrap(cluster, identities, data);
	}

}
