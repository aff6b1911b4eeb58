package org.magnolialead.ctl;

import java.util.List;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.engine.consensus.FaultTolerance;

/**
 * Prints the state of each control daemon, of the groups and of the daemons.
 */
final class StatusCommand extends AbstractControlCommand {

	@Override
	public void run(CtlContext context) {
		ControlClient client = client(context);
		ViewAnswer preferred = null;
		for (String address : addresses()) {
			ViewAnswer answer = printDaemon(context, client, address);
			if (answer != null
					&& (preferred == null || answer.leader() || (!preferred.leader() && isNewer(answer, preferred)))) {
				preferred = answer;
			}
		}
		if (preferred == null) {
			throw CtlException.failure("no control daemon responded");
		}
		printView(context, preferred);
	}

	private boolean isNewer(ViewAnswer first, ViewAnswer second) {
		return first.view().version() > second.view().version();
	}

	private ViewAnswer printDaemon(CtlContext context, ControlClient client, String address) {
		try {
			ViewAnswer answer = client.view(address);
			context.output()
				.printf("control %s %s %s term %d commit %d applied %d voters %s tolerated_losses %d view %d%n",
						answer.daemon(), address, answer.leader() ? "leader" : "follower", answer.term(),
						answer.commitIndex(), answer.appliedIndex(), answer.voters(),
						FaultTolerance.lossesTolerated(answer.voters().size()), answer.view().version());
			return answer;
		}
		catch (MagnolialeadException ex) {
			context.output().printf("control ? %s unreachable: %s%n", address, ex.getMessage());
			return null;
		}
	}

	private void printView(CtlContext context, ViewAnswer answer) {
		List<GroupView> groups = answer.view()
			.groups()
			.values()
			.stream()
			.sorted((first, second) -> first.group().compareTo(second.group()))
			.toList();
		for (GroupView group : groups) {
			context.output()
				.printf("group %s term %d primary %s owner %s epoch %d%n", group.group(), group.term(),
						orNone(group.primary()), orNone(group.owner()), group.ownerEpoch());
			group.allMembers()
				.stream()
				.sorted((first, second) -> first.member().compareTo(second.member()))
				.forEach((member) -> context.output()
					.printf("  member %s %s zone %s%s%n", member.member(), member.address(), member.availabilityZone(),
							member.leaving() ? " leaving" : ""));
		}
		answer.view()
			.daemons()
			.values()
			.stream()
			.sorted((first, second) -> first.daemon().compareTo(second.daemon()))
			.forEach((daemon) -> context.output()
				.printf("daemon %s %s zone %s%s confirmed view %s%n", daemon.daemon(), daemon.peerAddress(),
						daemon.availabilityZone(), daemon.draining() ? " draining" : "",
						answer.daemonVersions().getOrDefault(daemon.daemon(), -1L)));
	}

	private String orNone(String name) {
		return name.isEmpty() ? "none" : name;
	}

}
