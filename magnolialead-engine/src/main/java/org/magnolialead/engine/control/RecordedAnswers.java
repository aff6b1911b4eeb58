package org.magnolialead.engine.control;

import org.magnolialead.api.command.CommandResult;

/**
 * Answers to the latest configuration changes by request id. A repeated request receives
 * the first answer while that is retained.
 *
 * @param byRequest answers by request id
 * @param order request ids by sequence number
 * @param nextSequence sequence number of the next answer
 */
public record RecordedAnswers(PersistentMap<String, CommandResult> byRequest, PersistentMap<Long, String> order,
		long nextSequence) {

	/**
	 * Number of retained answers, which covers four days with 2,500 changes a day.
	 */
	public static final int LIMIT = 10_000;

	static final RecordedAnswers NONE = new RecordedAnswers(PersistentMap.empty(), PersistentMap.empty(), 0);

	CommandResult find(String requestId) {
		return this.byRequest.get(requestId);
	}

	RecordedAnswers with(String requestId, CommandResult result) {
		PersistentMap<String, CommandResult> nextByRequest = this.byRequest.with(requestId, result);
		PersistentMap<Long, String> nextOrder = this.order.with(this.nextSequence, requestId);
		String oldest = nextOrder.get(this.nextSequence - LIMIT);
		if (oldest != null) {
			nextByRequest = nextByRequest.without(oldest);
			nextOrder = nextOrder.without(this.nextSequence - LIMIT);
		}
		return new RecordedAnswers(nextByRequest, nextOrder, this.nextSequence + 1);
	}
}
