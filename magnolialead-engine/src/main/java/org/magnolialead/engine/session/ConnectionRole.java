package org.magnolialead.engine.session;

/**
 * Part that a daemon has in the connections to the members of one group.
 */
public enum ConnectionRole {

	/**
	 * Every daemon keeps a connection, because the connection limit permits it.
	 */
	EQUAL {

		@Override
		int permanent(int held) {
			return 1;
		}

		@Override
		int maximum(int held, boolean mayBePrimary) {
			return 1 + additional(mayBePrimary);
		}

	},

	/**
	 * Keeps connections on behalf of the daemons that forward their statements to it.
	 */
	HOLDER {

		@Override
		int permanent(int held) {
			return held;
		}

		@Override
		int maximum(int held, boolean mayBePrimary) {
			return held;
		}

	},

	/**
	 * Replaces a holder that does not answer. Opens connections once it receives
	 * statements.
	 */
	STANDBY {

		@Override
		int permanent(int held) {
			return 0;
		}

		@Override
		int maximum(int held, boolean mayBePrimary) {
			return held;
		}

	},

	/**
	 * Forwards its statements and opens connections only while no holder answers.
	 */
	FORWARDING {

		@Override
		int permanent(int held) {
			return 0;
		}

		@Override
		int maximum(int held, boolean mayBePrimary) {
			return additional(mayBePrimary);
		}

	};

	/** Connections beyond the permanent ones to a member that may receive writes. */
	private static final int ADDITIONAL_TO_PRIMARY = 2;

	private static final int ADDITIONAL_TO_REPLICA = 1;

	/**
	 * Returns the number of connections that a daemon keeps to each member.
	 * @param held number of connections that a holder keeps
	 * @return the number of permanent connections
	 */
	abstract int permanent(int held);

	/**
	 * Returns the maximum number of connections to a member while work waits.
	 * @param held number of connections that a holder keeps
	 * @param mayBePrimary whether the member may be the primary, whose connections are
	 * occupied by transactions
	 * @return the maximum number of connections
	 */
	abstract int maximum(int held, boolean mayBePrimary);

	private static int additional(boolean mayBePrimary) {
		return mayBePrimary ? ADDITIONAL_TO_PRIMARY : ADDITIONAL_TO_REPLICA;
	}

}
