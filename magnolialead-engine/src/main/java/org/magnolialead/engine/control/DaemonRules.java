package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;

/**
 * Applies commands on entry daemons.
 * <p>
 * At most one incarnation of a name is registered, so that the owner name in a group is
 * unambiguous. While an earlier incarnation is registered, a later one is refused,
 * because the earlier process may be paused with a valid lease and still own groups. The
 * leader removes the earlier incarnation once its lease has provably expired, which
 * releases its groups, and then registers the later one.
 */
final class DaemonRules {

	private DaemonRules() {
	}

	static ApplyResult register(ControlState state, RegisterDaemon command) {
		NameChecks.requireValid("daemon name", command.daemon());
		NameChecks.requireValid("incarnation", command.incarnation());
		NameChecks.requireValid("peer address", command.peerAddress());
		NameChecks.requireValid("availability zone", command.availabilityZone());
		DaemonView present = state.daemons().get(command.daemon());
		if (present != null && !present.incarnation().equals(command.incarnation())) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
					"incarnation %s of daemon %s cannot be registered before incarnation %s is forgotten"
						.formatted(command.incarnation(), command.daemon(), present.incarnation()));
		}
		// A delayed heartbeat sent before the shutdown began must not reset draining.
		boolean draining = command.draining() || (present != null && present.draining());
		DaemonView next = new DaemonView(command.daemon(), (present != null) ? present.version() : 0,
				command.incarnation(), command.peerAddress(), command.availabilityZone(), draining);
		return ApplyResult.accepted(next.equals(present) ? state : state.withDaemon(next));
	}

	static ApplyResult forget(ControlState state, ForgetDaemon command) {
		DaemonView present = state.daemons().get(command.daemon());
		if (present == null) {
			return ApplyResult.accepted(state);
		}
		if (!present.incarnation().equals(command.incarnation())) {
			return ApplyResult.refused(state, ErrorCode.STALE_COMMAND,
					"daemon %s is registered with incarnation %s, not %s".formatted(command.daemon(),
							present.incarnation(), command.incarnation()));
		}
		List<GroupView> owned = new ArrayList<>();
		state.groups().forEach((name, group) -> {
			if (group.owner().equals(command.daemon())) {
				owned.add(group);
			}
		});
		owned.sort(Comparator.comparing(GroupView::group));
		ControlState next = state;
		for (GroupView group : owned) {
			next = next.withGroup(GroupRules.withoutOwner(group));
		}
		return ApplyResult.accepted(next.withoutDaemon(command.daemon()));
	}

}
