package org.magnolialead.api.command;

/**
 * Record of a non-repeatable request. The control state contains all of them in its
 * ledger.
 *
 * @param key idempotency key
 * @param digest digest of the request
 * @param ownerEpoch epoch of the owner that began it
 * @param attempt number of the attempt, assigned by that owner
 * @param finished whether its execution has ended
 * @param answer answer to return if the request is sent again, or {@code null} if none is
 * kept
 * @param forgetDeadline time of the ledger clock in milliseconds since the Unix epoch
 * after which the record may be removed; see {@link ControlCommand.ForgetRequests}
 * @param newlyBegun whether the request was begun by the command that returned this
 * record
 */
public record RequestRecord(String key, String digest, long ownerEpoch, long attempt, boolean finished, byte[] answer,
		long forgetDeadline, boolean newlyBegun) {
}
