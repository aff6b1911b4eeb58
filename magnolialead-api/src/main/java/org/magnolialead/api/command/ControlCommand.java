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
 * Change of the replicated control state. Commands are deterministic: every value that
 * depends on time or chance is part of the command.
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
	 * @param requestId identifier chosen by the operator's client; a resend repeats it
	 * @param expectedVersion configuration version that the change was made against
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
	 * Puts a complete set of routes in force if its number is higher than the present
	 * one. A table with a lower or equal number is accepted and changes nothing.
	 *
	 * @param table the routes
	 */
	record ReplaceRoutes(RouteTable table) implements ControlCommand {
	}

	/**
	 * Records what a database member announced.
	 *
	 * @param member the announcement
	 */
	record AnnounceMember(MemberDescription member) implements ControlCommand {
	}

	/**
	 * Removes a database member that is gone for good. Refused for the primary.
	 *
	 * @param group name of the group
	 * @param member name of the member
	 */
	record ForgetMember(String group, String member) implements ControlCommand {
	}

	/**
	 * Adds an entry daemon or updates what is known of it.
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
	 * Removes an entry daemon whose lease has run out and releases the groups it owned.
	 *
	 * @param daemon name of the daemon
	 * @param incarnation incarnation whose lease has run out
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
	 * @param ownerEpoch epoch that ends
	 */
	record ReleaseOwner(String group, long ownerEpoch) implements ControlCommand {
	}

	/**
	 * Asks the owner of a group to finish its work and to release the group.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner that is asked
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
	 * @param digest digest of the request, to detect reuse of a key
	 * @param forgetDeadline wall-clock time in milliseconds since 1970 after which the
	 * record may be removed
	 */
	record BeginRequest(String group, long ownerEpoch, long attempt, String key, String digest,
			long forgetDeadline) implements ControlCommand {
	}

	/**
	 * Records the end of a non-repeatable request.
	 *
	 * @param group name of the group
	 * @param ownerEpoch epoch of the owner
	 * @param attempt attempt that ended; the record of any other attempt stays as it is
	 * @param key idempotency key
	 * @param executed {@code false} if the request was never sent, which frees the key
	 * @param answer answer to repeat to a resend, at most 1 KiB, or {@code null} if none
	 * is kept
	 */
	record FinishRequest(String group, long ownerEpoch, long attempt, String key, boolean executed,
			byte[] answer) implements ControlCommand {
	}

	/**
	 * Removes records of non-repeatable requests whose deadline has passed.
	 *
	 * @param wallClockTime time of the leader's ledger clock in milliseconds since 1970,
	 * which starts at wall-clock time and is not affected by later clock steps
	 */
	record ForgetRequests(long wallClockTime) implements ControlCommand {
	}

}
