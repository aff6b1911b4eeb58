package org.magnolialead.daemon.owner;

import java.util.concurrent.TimeUnit;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import org.magnolialead.api.message.IdempotencyKeyHash;
import org.magnolialead.api.message.LedgerKeysAnswer;
import org.magnolialead.api.message.LedgerKeysQuery;

/**
 * Bloom filter of the idempotency keys of a group that may be recorded in the control
 * log. A key that is not in the filter has certainly not been recorded, so its request
 * can be rejected as "not run" without a commit. Confined to the serial executor of the
 * group.
 */
final class IdempotencyKeyFilter {

	/**
	 * Number of keys for which the filter is sized, which takes about 0.9 MB. More keys
	 * only raise the share of rejections that need a commit.
	 */
	private static final int EXPECTED_KEYS = 1_000_000;

	private static final double FALSE_POSITIVE_RATE = 0.03;

	private static final long QUERY_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

	private static final long RETRY_DELAY_MILLISECONDS = 200;

	private final GroupContext context;

	private final BloomFilter<Long> hashes = BloomFilter.create(Funnels.longFunnel(), EXPECTED_KEYS,
			FALSE_POSITIVE_RATE);

	private boolean loaded;

	IdempotencyKeyFilter(GroupContext context) {
		this.context = context;
	}

	/**
	 * Fetches the keys that earlier owners have recorded.
	 */
	void fetch() {
		fetch(0, 0);
	}

	void add(String key) {
		this.hashes.put(IdempotencyKeyHash.of(key));
	}

	/**
	 * Tells whether a key may have been recorded by this or an earlier owner.
	 * @param key the key
	 * @return {@code false} only if the key has certainly not been recorded
	 */
	boolean mayContain(String key) {
		return !this.loaded || this.hashes.mightContain(IdempotencyKeyHash.of(key));
	}

	private void fetch(int page, int pages) {
		if (this.context.isStopped()) {
			return;
		}
		LedgerKeysQuery query = new LedgerKeysQuery(this.context.group(), this.context.ownerEpoch(), page, pages);
		this.context.services()
			.control()
			.query(query, this.context.now() + QUERY_TIMEOUT_NANOSECONDS)
			.whenCompleteAsync((answer, failure) -> pageFetched(page, answer), this.context.serial());
	}

	private void pageFetched(int page, Object answer) {
		if (!(answer instanceof LedgerKeysAnswer keysAnswer) || !keysAnswer.accepted()) {
			this.context.services()
				.timer()
				.schedule(() -> this.context.serial().execute(this::fetch), RETRY_DELAY_MILLISECONDS,
						TimeUnit.MILLISECONDS);
			return;
		}
		for (long hash : keysAnswer.hashes()) {
			this.hashes.put(hash);
		}
		if (page + 1 < keysAnswer.pages()) {
			fetch(page + 1, keysAnswer.pages());
		}
		else {
			this.loaded = true;
		}
	}

}
