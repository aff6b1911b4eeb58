package org.magnolialead.daemon.control;

import java.util.stream.LongStream;

import org.magnolialead.api.message.IdempotencyKeyHash;
import org.magnolialead.api.message.LedgerKeysAnswer;
import org.magnolialead.api.message.LedgerKeysQuery;
import org.magnolialead.engine.control.ControlState;

/**
 * Answers queries of new owners for the recorded idempotency keys of their groups.
 */
public final class LedgerKeys {

	/**
	 * Target maximum number of hashes per answer. A hash takes 9 bytes, so an answer
	 * stays well below the frame limit of 1 MiB.
	 */
	private static final int PAGE_SIZE = 50_000;

	private final CommandLog log;

	private final ControlStateMachine machine;

	/**
	 * Creates the service.
	 * @param log replicated log
	 * @param machine holder of the state
	 */
	public LedgerKeys(CommandLog log, ControlStateMachine machine) {
		this.log = log;
		this.machine = machine;
	}

	/**
	 * Answers a query. The answer is complete for earlier epochs: once the assignment of
	 * the querying owner is applied, commands of earlier owners are rejected.
	 * @param query the query
	 * @return one page, or a rejection if the query is invalid, the owner epoch is not
	 * current or this member has no authority
	 */
	public LedgerKeysAnswer answer(LedgerKeysQuery query) {
		ControlState state = this.machine.state();
		boolean assigned = state.group(query.group())
			.filter((group) -> group.ownerEpoch() == query.ownerEpoch())
			.isPresent();
		boolean valid = assigned && query.page() >= 0 && query.pages() >= 0 && this.log.hasAuthority();
		if (!valid) {
			return new LedgerKeysAnswer(false, 0, new long[0]);
		}
		int pages = (query.pages() > 0) ? query.pages() : 1 + state.ledger().size() / PAGE_SIZE;
		LongStream.Builder hashes = LongStream.builder();
		state.ledger().records().forEach((name, request) -> {
			long hash = IdempotencyKeyHash.of(name.key());
			if (name.group().equals(query.group()) && IdempotencyKeyHash.page(hash, pages) == query.page()) {
				hashes.add(hash);
			}
		});
		return new LedgerKeysAnswer(true, pages, hashes.build().toArray());
	}

}
