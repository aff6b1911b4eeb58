package org.magnolialead.api.message;

/**
 * Page of the idempotency keys that are recorded for a group.
 *
 * @param accepted whether the daemon is the leader and the epoch is the present one
 * @param pages number of pages
 * @param hashes hashes of the keys on this page, as by {@link IdempotencyKeyHash}
 */
public record LedgerKeysAnswer(boolean accepted, int pages, long[] hashes) {
}
