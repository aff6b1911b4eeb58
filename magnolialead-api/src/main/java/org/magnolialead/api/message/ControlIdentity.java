package org.magnolialead.api.message;

import java.util.Objects;

/**
 * Identity of a control member. A member that lost its data folder gets a new
 * incarnation, and its peers treat it as a different member.
 *
 * @param name name of the control daemon in its settings
 * @param incarnation random identifier kept in the data folder
 * @param address peer address in the form {@code host:port}
 * @param observer whether the member has no durable data folder; it then receives the log
 * but never votes
 */
public record ControlIdentity(String name, String incarnation, String address, boolean observer) {

	public ControlIdentity {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(incarnation, "incarnation must not be null");
		Objects.requireNonNull(address, "address must not be null");
	}

	/**
	 * Creates the identity of a member with a durable data folder.
	 * @param name name of the control daemon in its settings
	 * @param incarnation random identifier kept in the data folder
	 * @param address peer address in the form {@code host:port}
	 */
	public ControlIdentity(String name, String incarnation, String address) {
		this(name, incarnation, address, false);
	}

	/**
	 * Returns whether both identities denote the same member with the same data folder.
	 * @param other the other identity
	 * @return {@code true} if name and incarnation are equal
	 */
	public boolean isSameMember(ControlIdentity other) {
		return this.name.equals(other.name) && this.incarnation.equals(other.incarnation);
	}

}
