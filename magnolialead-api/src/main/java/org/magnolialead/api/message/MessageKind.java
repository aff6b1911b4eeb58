package org.magnolialead.api.message;

/**
 * Message types of the peer protocol with their codes on the wire.
 */
public enum MessageKind {

	/** Caller's request to the owner of a group. */
	EXECUTE_REQUEST(1, ExecuteRequest.class),
	/** Answer to a caller's request. */
	EXECUTE_ANSWER(2, ExecuteAnswer.class),
	/** Heartbeat of an entry daemon. */
	HEARTBEAT_REQUEST(3, HeartbeatRequest.class),
	/** Answer to a heartbeat. */
	HEARTBEAT_ANSWER(4, HeartbeatAnswer.class),
	/** Command for the control leader. */
	SUBMIT_REQUEST(5, SubmitCommandRequest.class),
	/** Answer to a command. */
	SUBMIT_ANSWER(6, SubmitCommandAnswer.class),
	/** One-way message of the control daemons that replicate the control log. */
	CONSENSUS(7, ConsensusMessage.class),
	/** Query for the state of a control daemon. */
	VIEW_QUERY(8, ViewQuery.class),
	/** State of a control daemon. */
	VIEW_ANSWER(9, ViewAnswer.class),
	/** Request to start a new cluster. */
	INITIALIZE_REQUEST(10, InitializeRequest.class),
	/** Answer to the request to start a new cluster. */
	INITIALIZE_ANSWER(11, InitializeAnswer.class),
	/** Answer to a request that could not be handled. */
	ERROR_ANSWER(12, ErrorAnswer.class),
	/** Query for the recorded idempotency keys of a group. */
	LEDGER_KEYS_QUERY(13, LedgerKeysQuery.class),
	/** Page of the recorded idempotency keys of a group. */
	LEDGER_KEYS_ANSWER(14, LedgerKeysAnswer.class),
	/** Statement for a daemon that holds connections to the members of its group. */
	FORWARD_STATEMENT_REQUEST(15, ForwardStatementRequest.class),
	/** Answer to a forwarded statement. */
	FORWARD_STATEMENT_ANSWER(16, ForwardStatementAnswer.class),
	/** Rollback of a transaction whose statements were forwarded. */
	ROLL_BACK_FORWARDED(17, RollBackForwarded.class),
	/** Request for tokens of client accounts. */
	QUOTA_REQUEST(18, QuotaRequest.class),
	/** Answer to a request for tokens. */
	QUOTA_ANSWER(19, QuotaAnswer.class);

	private final int code;

	private final Class<?> type;

	MessageKind(int code, Class<?> type) {
		this.code = code;
		this.type = type;
	}

	/**
	 * Returns the code on the wire.
	 * @return the code from 1 to 127
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the type of the message.
	 * @return the record, or the interface of a family of records
	 */
	public Class<?> type() {
		return this.type;
	}

	/**
	 * Returns the kind of a message.
	 * @param message the message
	 * @return its kind
	 * @throws IllegalArgumentException if the object is not a message of the peer
	 * protocol
	 */
	public static MessageKind of(Object message) {
		for (MessageKind kind : values()) {
			if (kind.type.isInstance(message)) {
				return kind;
			}
		}
		throw new IllegalArgumentException("not a peer message: " + message.getClass().getName());
	}

	/**
	 * Returns the kind with a code.
	 * @param code the code
	 * @return the kind
	 * @throws IllegalArgumentException if no kind has this code
	 */
	public static MessageKind ofCode(int code) {
		for (MessageKind kind : values()) {
			if (kind.code == code) {
				return kind;
			}
		}
		throw new IllegalArgumentException("unknown message code " + code);
	}

}
