package org.magnolialead.api.command;

/**
 * Record of a non-repeatable request in the control state.
 *
 * @param key idempotency key
 * @param digest digest of the request
 * @param ownerEpoch epoch of the owner that began it
 * @param attempt number of the attempt, chosen by that owner
 * @param finished whether its execution has ended
 * @param answer answer to repeat to a resend, or {@code null} if none is kept
 * @param forgetDeadline wall-clock time in milliseconds since 1970 after which the record
 * may be removed
 * @param newlyBegun whether the command that returns this record has begun the request
 */
public record RequestRecord(String key, String digest, long ownerEpoch, long attempt, boolean finished, byte[] answer,
		long forgetDeadline, boolean newlyBegun) {
}
