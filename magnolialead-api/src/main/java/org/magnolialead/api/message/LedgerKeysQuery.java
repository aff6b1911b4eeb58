package org.magnolialead.api.message;

/**
 * Queries the control leader for the idempotency keys that its ledger of non-repeatable
 * requests contains for a group. A new owner loads the keys once; afterwards it can
 * refuse a request as not run, without a commit to the control log, if its key was never
 * recorded.
 *
 * @param group name of the group
 * @param ownerEpoch epoch of the querying owner
 * @param page number of the page, from 0
 * @param pages number of pages; 0 in the first query
 */
public record LedgerKeysQuery(String group, long ownerEpoch, int page, int pages) {
}
