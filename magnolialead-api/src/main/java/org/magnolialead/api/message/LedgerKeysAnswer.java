package org.magnolialead.api.message;

/**
 * Page of hashes of the idempotency keys that the ledger contains for a group.
 *
 * @param accepted whether the daemon is the leader and the owner epoch is current
 * @param pages number of pages
 * @param hashes hashes of the keys on this page, computed by {@link IdempotencyKeyHash}
 */
public record LedgerKeysAnswer(boolean accepted, int pages, long[] hashes) {
}
