package org.magnolialead.engine.control;

import java.util.HashMap;
import java.util.Map;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.ForgetMember;
import org.magnolialead.api.command.ControlCommand.ReleaseOwner;
import org.magnolialead.api.command.ControlCommand.RequestRelease;
import org.magnolialead.api.command.ControlCommand.ReservePromotion;

/**
 * Applies commands on database groups: members, owner, term and primary.
 */
final class GroupRules {

	/**
	 * Maximum number of members of a group, which limits the size of a view.
	 */
	static final int MAXIMUM_MEMBERS = 15;

	private GroupRules() {
	}

	static ApplyResult apply(ControlState state, ControlCommand command) {
		if (command instanceof AnnounceMember announce) {
			return announceMember(state, announce.member());
		}
		if (command instanceof ForgetMember forget) {
			GroupView group = state.groups().get(forget.group());
			return (group != null) ? forgetMember(state, group, forget) : unknownGroup(state, forget.group());
		}
		if (command instanceof AssignOwner assign) {
			GroupView group = state.groups().get(assign.group());
			return (group != null) ? assignOwner(state, group, assign) : unknownGroup(state, assign.group());
		}
		if (command instanceof ReleaseOwner release) {
			GroupView group = state.groups().get(release.group());
			return (group != null) ? releaseOwner(state, group, release) : unknownGroup(state, release.group());
		}
		if (command instanceof RequestRelease request) {
			GroupView group = state.groups().get(request.group());
			return (group != null) ? requestRelease(state, group, request) : unknownGroup(state, request.group());
		}
		if (command instanceof ReservePromotion reserve) {
			GroupView group = state.groups().get(reserve.group());
			return (group != null) ? reservePromotion(state, group, reserve) : unknownGroup(state, reserve.group());
		}
		if (command instanceof ConfirmPrimary confirm) {
			GroupView group = state.groups().get(confirm.group());
			return (group != null) ? confirmPrimary(state, group, confirm) : unknownGroup(state, confirm.group());
		}
		return ApplyResult.refused(state, ErrorCode.BAD_REQUEST, "unknown command");
	}

	static boolean isOwnedInEpoch(GroupView group, long ownerEpoch) {
		return !group.owner().isEmpty() && group.ownerEpoch() == ownerEpoch;
	}

	static boolean hasReservedPromotion(GroupView group) {
		return group.reservedTerm() > group.term();
	}

	static GroupView withoutOwner(GroupView group) {
		return withOwner(group, "", group.ownerEpoch(), false);
	}

	static ApplyResult unknownGroup(ControlState state, String group) {
		return ApplyResult.refused(state, ErrorCode.UNKNOWN_GROUP, "no database group \"%s\"".formatted(group));
	}

	static ApplyResult staleEpoch(ControlState state, GroupView group, long ownerEpoch) {
		String present = group.owner().isEmpty() ? "no owner since epoch " : "owner epoch ";
		return ApplyResult.refused(state, ErrorCode.STALE_COMMAND, "group %s has %s%d, the command states epoch %d"
			.formatted(group.group(), present, group.ownerEpoch(), ownerEpoch));
	}

	private static ApplyResult announceMember(ControlState state, MemberDescription member) {
		NameChecks.requireValid("group name", member.group());
		NameChecks.requireValid("member name", member.member());
		NameChecks.requireAddress("member address", member.address());
		NameChecks.requireValid("availability zone", member.availabilityZone());
		GroupView announced = state.groups().get(member.group());
		if (announced == null && isUnknownToRoutes(state, member.group())) {
			return ApplyResult.accepted(state);
		}
		GroupView group = (announced != null) ? announced
				: new GroupView(member.group(), 0, 0, "", 0, "", "", 0, Map.of());
		if (member.equals(group.members().get(member.member())) || isOutdated(group, member)
				|| hasLeft(state, member)) {
			return ApplyResult.accepted(state);
		}
		Map<String, MemberDescription> members = new HashMap<>(group.members());
		members.values().removeIf((known) -> isReplacedBy(group, known, member));
		members.put(member.member(), member);
		if (members.size() > MAXIMUM_MEMBERS) {
			return ApplyResult.refused(state, ErrorCode.BAD_REQUEST,
					"group %s already has the limit of %d members".formatted(group.group(), MAXIMUM_MEMBERS));
		}
		return ApplyResult.accepted(state.withGroup(withMembers(group, members)));
	}

	// Without routes any group may exist. With routes, an announcement for another group
	// must not occupy the state and an owner; a member announces itself again, so it is
	// recorded once the routes name its group.
	private static boolean isUnknownToRoutes(ControlState state, String group) {
		RouteTable routes = state.configuration().routes();
		return routes.number() > 0 && !routes.connectionLimits().containsKey(group);
	}

	private static boolean hasLeft(ControlState state, MemberDescription member) {
		return member.startedAtMilliseconds() > 0
				&& state.removedMembers().contains(member.group(), member.member(), member.startedAtMilliseconds());
	}

	// A delayed announcement may arrive after its sender has been replaced at the same
	// address, or after a later announcement in which the sender is leaving.
	private static boolean isOutdated(GroupView group, MemberDescription member) {
		MemberDescription present = group.members().get(member.member());
		boolean revertsLeaving = present != null && present.leaving() && !member.leaving()
				&& member.startedAtMilliseconds() > 0
				&& present.startedAtMilliseconds() == member.startedAtMilliseconds();
		return revertsLeaving || group.allMembers()
			.stream()
			.filter((known) -> known.member().equals(member.member()) || known.address().equals(member.address()))
			.anyMatch(member::startedBefore);
	}

	// Of two processes with the same address, only the one that started later can be
	// running. Members without a start time are kept.
	private static boolean isReplacedBy(GroupView group, MemberDescription known, MemberDescription member) {
		return known.address().equals(member.address()) && known.startedBefore(member)
				&& !known.member().equals(group.primary()) && !known.member().equals(group.candidate());
	}

	private static ApplyResult forgetMember(ControlState state, GroupView group, ForgetMember command) {
		if (command.member().equals(group.primary())) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
					"member %s is the primary of group %s".formatted(command.member(), group.group()));
		}
		if (hasReservedPromotion(group)) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
					"a promotion to term %d of group %s is not confirmed yet".formatted(group.reservedTerm(),
							group.group()));
		}
		MemberDescription present = group.members().get(command.member());
		boolean restarted = present != null && command.startedAtMilliseconds() > 0
				&& present.startedAtMilliseconds() > command.startedAtMilliseconds();
		if (present == null || restarted) {
			return ApplyResult.accepted(state);
		}
		Map<String, MemberDescription> members = new HashMap<>(group.members());
		members.remove(command.member());
		RemovedMembers.Removal removal = new RemovedMembers.Removal(group.group(), command.member(),
				present.startedAtMilliseconds());
		return ApplyResult.accepted(state.withGroup(withMembers(group, members)).withRemovedMember(removal));
	}

	private static ApplyResult assignOwner(ControlState state, GroupView group, AssignOwner command) {
		if (!group.owner().isEmpty() || group.ownerEpoch() != command.expectedEpoch()) {
			return staleEpoch(state, group, command.expectedEpoch());
		}
		DaemonView daemon = state.daemons().get(command.daemon());
		if (daemon == null || daemon.draining()) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND, "daemon %s is %s".formatted(command.daemon(),
					(daemon != null) ? "shutting down" : "not registered"));
		}
		return ApplyResult.accepted(state.withGroup(withOwner(group, daemon.daemon(), group.ownerEpoch() + 1, false)));
	}

	private static ApplyResult releaseOwner(ControlState state, GroupView group, ReleaseOwner command) {
		if (group.ownerEpoch() != command.ownerEpoch()) {
			return staleEpoch(state, group, command.ownerEpoch());
		}
		return ApplyResult.accepted(group.owner().isEmpty() ? state : state.withGroup(withoutOwner(group)));
	}

	private static ApplyResult requestRelease(ControlState state, GroupView group, RequestRelease command) {
		if (!isOwnedInEpoch(group, command.ownerEpoch())) {
			return staleEpoch(state, group, command.ownerEpoch());
		}
		return ApplyResult.accepted(group.releaseRequested() ? state
				: state.withGroup(withOwner(group, group.owner(), group.ownerEpoch(), true)));
	}

	private static ApplyResult reservePromotion(ControlState state, GroupView group, ReservePromotion command) {
		if (!isOwnedInEpoch(group, command.ownerEpoch())) {
			return staleEpoch(state, group, command.ownerEpoch());
		}
		if (command.expectedReservedTerm() != group.reservedTerm() || command.newTerm() <= group.reservedTerm()) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
					"group %s has reserved term %d, the command expects %d and asks for %d".formatted(group.group(),
							group.reservedTerm(), command.expectedReservedTerm(), command.newTerm()));
		}
		if (!group.members().containsKey(command.candidate())) {
			return unknownMember(state, group, command.candidate());
		}
		return ApplyResult.accepted(state
			.withGroup(withPrimary(group, group.term(), group.primary(), command.newTerm(), command.candidate())));
	}

	private static ApplyResult confirmPrimary(ControlState state, GroupView group, ConfirmPrimary command) {
		if (!isOwnedInEpoch(group, command.ownerEpoch())) {
			return staleEpoch(state, group, command.ownerEpoch());
		}
		if (!group.members().containsKey(command.primary())) {
			return unknownMember(state, group, command.primary());
		}
		if (command.term() > 0 && command.term() == group.term() && command.primary().equals(group.primary())) {
			return ApplyResult.accepted(state);
		}
		boolean first = group.term() == 0 && command.term() > group.reservedTerm();
		boolean reserved = hasReservedPromotion(group) && command.term() == group.reservedTerm()
				&& command.primary().equals(group.candidate());
		if (!first && !reserved) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
					"group %s has term %d of primary \"%s\" and reserved term %d for \"%s\"; term %d of \"%s\" cannot be confirmed"
						.formatted(group.group(), group.term(), group.primary(), group.reservedTerm(),
								group.candidate(), command.term(), command.primary()));
		}
		return ApplyResult
			.accepted(state.withGroup(withPrimary(group, command.term(), command.primary(), command.term(), "")));
	}

	private static ApplyResult unknownMember(ControlState state, GroupView group, String member) {
		return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
				"group %s has no member \"%s\"".formatted(group.group(), member));
	}

	private static GroupView withMembers(GroupView group, Map<String, MemberDescription> members) {
		return new GroupView(group.group(), group.version(), group.term(), group.primary(), group.reservedTerm(),
				group.candidate(), group.owner(), group.ownerEpoch(), group.releaseRequested(), members);
	}

	private static GroupView withOwner(GroupView group, String owner, long ownerEpoch, boolean releaseRequested) {
		return new GroupView(group.group(), group.version(), group.term(), group.primary(), group.reservedTerm(),
				group.candidate(), owner, ownerEpoch, releaseRequested, group.members());
	}

	private static GroupView withPrimary(GroupView group, long term, String primary, long reservedTerm,
			String candidate) {
		return new GroupView(group.group(), group.version(), term, primary, reservedTerm, candidate, group.owner(),
				group.ownerEpoch(), group.releaseRequested(), group.members());
	}

}
