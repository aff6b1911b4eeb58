package org.magnolialead.api.command;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonSubTypes.Type;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Rank;
import org.magnolialead.api.RouteTable;

/**
 * Command that changes the replicated control state. Applying a command is deterministic:
 * every value that depends on time or randomness is part of the command.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @Type(value = ControlCommand.ChangeConfiguration.class, name = "change-configuration"),
		@Type(value = ControlCommand.ReplaceRoutes.class, name = "replace-routes"),
		@Type(value = ControlCommand.AnnounceMember.class, name = "announce-member"),
		@Type(value = ControlCommand.ForgetMember.class, name = "forget-member"),
		@Type(value = ControlCommand.RegisterDaemon.class, name = "register-daemon"),
		@Type(value = ControlCommand.ForgetDaemon.class, name = "forget-daemon"),
		@Type(value = ControlCommand.AssignOwner.class, name = "assign-owner"),
		@Type(value = ControlCommand.ReleaseOwner.class, name = "release-owner"),
		@Type(value = ControlCommand.RequestRelease.class, name = "request-release"),
		@Type(value = ControlCommand.ReservePromotion.class, name = "reserve-promotion"),
		@Type(value = ControlCommand.ConfirmPrimary.class, name = "confirm-primary"),
		@Type(value = ControlCommand.BeginRequest.class, name = "begin-request"),
		@Type(value = ControlCommand.FinishRequest.class, name = "finish-request"),
		@Type(value = ControlCommand.ForgetRequests.class, name = "forget-requests") })
public sealed interface ControlCommand {

	/**
	 * Changes the configuration of the fleet.
	 *
	 * @param requestId identifier chosen by the operator's client; the same if the client
	 * sends the command again
	 * @param expectedVersion configuration version that the change is based on
	 * @param putProfiles profiles to add or replace, by name
	 * @param removeProfiles names of profiles to remove
	 * @param rankFloors new rank floors, or {@code null} to keep them
	 * @param queueLimit new queue limit, or {@code null} to keep it
	 */
	record ChangeConfiguration(String requestId, long expectedVersion, Map<String, Profile> putProfiles,
			List<String> removeProfiles, Map<Rank, Double> rankFloors, Integer queueLimit) implements ControlCommand {

		public ChangeConfiguration {
			Objects.requireNonNull(requestId, "requestId must not be null");
			putProfiles = (putProfiles != null) ? Map.copyOf(putProfiles) : Map.of();
			removeProfiles = (removeProfiles != null) ? List.copyOf(removeProfiles) : List.of();
		}
	}

	/**
	 * Replaces the route table if the number of the new table is higher than that of the
	 * current one. A table with a lower or equal number is accepted and changes nothing.
	 *
	 * @param table the new route table
	 */
	record ReplaceRoutes(RouteTable table) implements ControlCommand {
	}

	/**
	 * Records the announcement of a database member.
	 *
	 * @param member the announced description
	 */
	record AnnounceMember(MemberDescription member) implements ControlCommand {
	}

	/**
	 * Removes a database member that will not return. Refused for the primary.
	 *
	 * @param group name of the group
	 * @param member name of the member
	 * @param startedAtMilliseconds time at which the process that leaves started, in
	 * milliseconds since the Unix epoch; a process that started later is kept. 0 removes
	 * any process
	 */
	record ForgetMember(String group, String member, long startedAtMilliseconds) implements ControlCommand {

		/**
		 * Creates a command that removes any process of a member.
		 * @param group name of the group
		 * @param member name of the member
		 */
		public ForgetMember(String group, String member) {
			this(group, member, 0);
		}

	}

	/**
	 * Registers an entry daemon or updates its registration.
	 *
	 * @param daemon name of the daemon
	 * @param incarnation identifier of its process
	 * @param peerAddress address for the peer protocol
	 * @param availabilityZone its availability zone
	 * @param draining whether it is shutting down
	 */
	record RegisterDaemon(String daemon, String incarnation, String peerAddress, String availabilityZone,
			boolean draining) implements ControlCommand {
	}

	/**
	 * Removes an entry daemon whose lease has expired and releases the groups it owned.
	 *
	 * @param daemon name of the daemon
	 * @param incarnation incarnation whose lease has expired
	 */
	record ForgetDaemon(String daemon, String incarnation) implements ControlCommand {
	}

	/**
	 * Assigns an owner to a group that has none.
	 *
	 * @param group name of the group
	 * @param daemon name of the new owner
	 * @param expectedEpoch owner epoch before the assignment
	 */
	record AssignOwner(String group, String daemon, long expectedEpoch) implements ControlCommand {
	}

	/**
	 * Ends the ownership of a group.
	 *
	 * @param group name of the group
	 * @param ownerEpoch owner epoch that ends
	 */
	record ReleaseOwner(String group, long ownerEpoch) implements ControlCommand {
	}

	/**
	 * Requests that the owner of a group finishes its work and releases the group.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner that the request is for
	 */
	record RequestRelease(String group, long ownerEpoch) implements ControlCommand {
	}

	/**
	 * Reserves a term for the promotion of a member.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner that orders the promotion
	 * @param expectedReservedTerm highest reserved term known to the owner
	 * @param newTerm term of the promotion, greater than the highest reserved term
	 * @param candidate member to promote
	 */
	record ReservePromotion(String group, long ownerEpoch, long expectedReservedTerm, long newTerm,
			String candidate) implements ControlCommand {
	}

	/**
	 * Records that a member acts as primary.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner
	 * @param term term of the primary
	 * @param primary name of the primary
	 */
	record ConfirmPrimary(String group, long ownerEpoch, long term, String primary) implements ControlCommand {
	}

	/**
	 * Records that a non-repeatable request is about to be sent to a database.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner
	 * @param attempt number of this attempt, greater than that of every earlier attempt
	 * of the owner's process
	 * @param key idempotency key
	 * @param digest digest of the request, which detects reuse of the key for another
	 * request
	 * @param forgetDeadline time of the ledger clock in milliseconds since the Unix epoch
	 * after which the record may be removed; set by the leader when it receives the
	 * command; see {@link ForgetRequests}
	 */
	record BeginRequest(String group, long ownerEpoch, long attempt, String key, String digest,
			long forgetDeadline) implements ControlCommand {
	}

	/**
	 * Records the end of a non-repeatable request.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner
	 * @param attempt attempt that ended; records of other attempts are left unchanged
	 * @param key idempotency key
	 * @param executed {@code false} if the request was never sent, so that the key may be
	 * used again
	 * @param answer answer to return if the request is sent again, at most 1 KiB, or
	 * {@code null} if none is kept
	 */
	record FinishRequest(String group, long ownerEpoch, long attempt, String key, boolean executed,
			byte[] answer) implements ControlCommand {
	}

	/**
	 * Removes records of non-repeatable requests whose deadline has passed.
	 *
	 * @param wallClockTime time of the leader's ledger clock in milliseconds since the
	 * Unix epoch; this clock starts at the wall-clock time and is not affected by later
	 * adjustments of the system clock
	 */
	record ForgetRequests(long wallClockTime) implements ControlCommand {
	}

}
