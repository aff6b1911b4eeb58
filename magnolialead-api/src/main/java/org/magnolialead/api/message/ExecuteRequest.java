package org.magnolialead.api.message;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.StatementKind;

/**
 * Request of a caller, forwarded by the entry daemon that received it to the owner of the
 * database group.
 *
 * @param group name of the database group
 * @param kind kind of the operation
 * @param statement statement as JSON text in UTF-8, opaque to the daemons
 * @param profile name of the profile
 * @param session name of the session, or an empty string
 * @param sessionPosition position from the session token, or {@link LogPosition#NONE}
 * @param idempotencyKey idempotency key, or an empty string
 * @param transaction identifier of the transaction, or an empty string
 * @param timeoutMilliseconds remaining time in milliseconds until the caller's deadline
 * when the message was sent
 * @param configurationVersion configuration version at the entry daemon
 */
public record ExecuteRequest(String group, StatementKind kind, byte[] statement, String profile, String session,
		LogPosition sessionPosition, String idempotencyKey, String transaction, long timeoutMilliseconds,
		long configurationVersion) {
}
