package org.magnolialead.api.message;

/**
 * Asks the control leader for the idempotency keys that are recorded for a group. A new
 * owner asks once, so that it can refuse a request truthfully without a commit.
 *
 * @param group name of the group
 * @param ownerEpoch epoch of the owner that asks
 * @param page number of the page, from 0
 * @param pages number of pages, 0 with the first query
 */
public record LedgerKeysQuery(String group, long ownerEpoch, int page, int pages) {
}
