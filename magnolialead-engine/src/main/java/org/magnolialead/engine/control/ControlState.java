package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.RequestRecord;

/**
 * Immutable replicated state of the control daemons. Applying a command is deterministic.
 * An invalid command is refused instead of causing an exception, because a command in the
 * log that throws would stop every control daemon.
 *
 * @param viewVersion version of the fleet view, increased by each change of a group, a
 * daemon or the configuration
 * @param configuration configuration in force
 * @param configurationChangedAt view version at which the configuration last changed
 * @param answers answers to the latest configuration changes
 * @param groups database groups by name
 * @param daemons registered entry daemons by name; at most one incarnation of a name is
 * registered, and the daemon that a group names as its owner is always that incarnation
 * @param removedDaemons latest removals of daemons
 * @param removedMembers latest removals of database members
 * @param ledger records of non-repeatable requests
 */
public record ControlState(long viewVersion, FleetConfiguration configuration, long configurationChangedAt,
		RecordedAnswers answers, PersistentMap<String, GroupView> groups, PersistentMap<String, DaemonView> daemons,
		RemovedDaemons removedDaemons, RemovedMembers removedMembers, Ledger ledger) {

	/**
	 * Returns the state of a new cluster.
	 * @return the state before the first command
	 */
	public static ControlState initial() {
		return new ControlState(0, FleetConfiguration.initial(), 0, RecordedAnswers.NONE, PersistentMap.empty(),
				PersistentMap.empty(), RemovedDaemons.NONE, RemovedMembers.NONE, Ledger.empty(0));
	}

	/**
	 * Applies a command.
	 * @param command the command
	 * @return the next state and the answer; a refused command leaves the state as it is,
	 * except that the answer to a configuration change is recorded
	 * @throws org.magnolialead.api.MagnolialeadException of code
	 * {@code INVARIANT_VIOLATED} if the next state would violate an invariant; the
	 * process must stop
	 */
	public ApplyResult apply(ControlCommand command) {
		ApplyResult applied;
		try {
			applied = dispatch(command);
		}
		catch (NullPointerException ex) {
			applied = ApplyResult.refused(this, ErrorCode.BAD_REQUEST, "command lacks a required value");
		}
		catch (IllegalArgumentException ex) {
			applied = ApplyResult.refused(this, ErrorCode.BAD_REQUEST, ex.getMessage());
		}
		Invariants.check(this, applied.state());
		return applied;
	}

	private ApplyResult dispatch(ControlCommand command) {
		if (command instanceof ControlCommand.BeginRequest begin) {
			return LedgerRules.begin(this, begin);
		}
		if (command instanceof ControlCommand.FinishRequest finish) {
			return LedgerRules.finish(this, finish);
		}
		if (command instanceof ControlCommand.ForgetRequests forget) {
			return ApplyResult.accepted(withLedger(this.ledger.withoutExpired(forget.wallClockTime())));
		}
		if (command instanceof ControlCommand.ChangeConfiguration change) {
			return ConfigurationRules.change(this, change);
		}
		if (command instanceof ControlCommand.ReplaceRoutes replace) {
			return ConfigurationRules.replaceRoutes(this, replace.table());
		}
		if (command instanceof ControlCommand.RegisterDaemon register) {
			return DaemonRules.register(this, register);
		}
		if (command instanceof ControlCommand.ForgetDaemon forget) {
			return DaemonRules.forget(this, forget);
		}
		return GroupRules.apply(this, command);
	}

	/**
	 * Returns the complete fleet view.
	 * @return the view
	 */
	public FleetView view() {
		Map<String, GroupView> allGroups = new HashMap<>();
		this.groups.forEach(allGroups::put);
		Map<String, DaemonView> allDaemons = new HashMap<>();
		this.daemons.forEach(allDaemons::put);
		return new FleetView(this.viewVersion, this.configuration, allGroups, allDaemons);
	}

	/**
	 * Returns the changes since a view version, or the first part of them if all of them
	 * could exceed a frame of the peer protocol.
	 * @param version view version of the receiver
	 * @return the change; it replaces the whole view of the receiver if the version is 0
	 * or the removals since then are not retained, and it is empty if the version is not
	 * before the present one
	 */
	public FleetViewChange changeSince(long version) {
		return changeSince(version, version);
	}

	/**
	 * Returns the changes since a view version, or the first part of them if all of them
	 * could exceed a frame of the peer protocol.
	 * @param version view version of the receiver
	 * @param removalsVersion version up to which the receiver has received the removals
	 * of daemons
	 * @return the change; complete if the version is 0 or the removals since the removals
	 * version are not retained, and empty if the version is not before the present one
	 */
	public FleetViewChange changeSince(long version, long removalsVersion) {
		if (version >= this.viewVersion) {
			return FleetViewChange.none(version);
		}
		boolean complete = version <= 0 || removalsVersion < this.removedDaemons.retainedSince();
		long since = complete ? -1 : version;
		List<GroupView> changedGroups = new ArrayList<>();
		this.groups.forEach((name, group) -> {
			if (group.version() > since) {
				changedGroups.add(group);
			}
		});
		List<DaemonView> changedDaemons = new ArrayList<>();
		this.daemons.forEach((name, daemon) -> {
			if (daemon.version() > since) {
				changedDaemons.add(daemon);
			}
		});
		FleetConfiguration changed = (this.configurationChangedAt > since) ? this.configuration : null;
		List<String> removed = complete ? List.of() : removedSince(since);
		long toVersion = ViewChangeSplitter.endOfNextPart(changedGroups, changedDaemons, this.viewVersion);
		// Every part contains the configuration if it changed, so that no receiver uses
		// the initial configuration in the meantime.
		return new FleetViewChange(version, toVersion, complete, changed,
				changedGroups.stream().filter((group) -> group.version() <= toVersion).toList(),
				changedDaemons.stream().filter((daemon) -> daemon.version() <= toVersion).toList(), removed,
				this.viewVersion);
	}

	/**
	 * Returns a database group.
	 * @param name name of the group
	 * @return the group, or empty if none of its members has been announced
	 */
	public Optional<GroupView> group(String name) {
		return Optional.ofNullable(this.groups.get(name));
	}

	/**
	 * Returns a registered daemon.
	 * @param name name of the daemon
	 * @return the daemon, or empty if none of this name is registered
	 */
	public Optional<DaemonView> daemon(String name) {
		return Optional.ofNullable(this.daemons.get(name));
	}

	/**
	 * Returns the record of a non-repeatable request.
	 * @param group name of the group
	 * @param key idempotency key
	 * @return the record, or empty if there is none
	 */
	public Optional<RequestRecord> request(String group, String key) {
		return Optional.ofNullable(this.ledger.find(group, key));
	}

	// A daemon that registered again is not listed, because a receiver applies additions
	// before removals.
	private List<String> removedSince(long version) {
		return this.removedDaemons.removals()
			.stream()
			.filter((removal) -> removal.version() > version && this.daemons.get(removal.daemon()) == null)
			.map(RemovedDaemons.Removal::daemon)
			.distinct()
			.toList();
	}

	ControlState withGroup(GroupView group) {
		Invariants.check(this.groups.get(group.group()), group);
		long version = this.viewVersion + 1;
		GroupView versioned = new GroupView(group.group(), version, group.term(), group.primary(), group.reservedTerm(),
				group.candidate(), group.owner(), group.ownerEpoch(), group.releaseRequested(), group.members());
		return new ControlState(version, this.configuration, this.configurationChangedAt, this.answers,
				this.groups.with(group.group(), versioned), this.daemons, this.removedDaemons, this.removedMembers,
				this.ledger);
	}

	ControlState withDaemon(DaemonView daemon) {
		long version = this.viewVersion + 1;
		DaemonView versioned = new DaemonView(daemon.daemon(), version, daemon.incarnation(), daemon.peerAddress(),
				daemon.availabilityZone(), daemon.draining());
		return new ControlState(version, this.configuration, this.configurationChangedAt, this.answers, this.groups,
				this.daemons.with(daemon.daemon(), versioned), this.removedDaemons, this.removedMembers, this.ledger);
	}

	ControlState withoutDaemon(String daemon) {
		long version = this.viewVersion + 1;
		return new ControlState(version, this.configuration, this.configurationChangedAt, this.answers, this.groups,
				this.daemons.without(daemon), this.removedDaemons.with(daemon, version), this.removedMembers,
				this.ledger);
	}

	ControlState withConfiguration(FleetConfiguration next) {
		long version = this.viewVersion + 1;
		return new ControlState(version, next, version, this.answers, this.groups, this.daemons, this.removedDaemons,
				this.removedMembers, this.ledger);
	}

	ControlState withAnswers(RecordedAnswers next) {
		return new ControlState(this.viewVersion, this.configuration, this.configurationChangedAt, next, this.groups,
				this.daemons, this.removedDaemons, this.removedMembers, this.ledger);
	}

	ControlState withRemovedMember(RemovedMembers.Removal removal) {
		return new ControlState(this.viewVersion, this.configuration, this.configurationChangedAt, this.answers,
				this.groups, this.daemons, this.removedDaemons, this.removedMembers.with(removal), this.ledger);
	}

	ControlState withLedger(Ledger next) {
		return new ControlState(this.viewVersion, this.configuration, this.configurationChangedAt, this.answers,
				this.groups, this.daemons, this.removedDaemons, this.removedMembers, next);
	}

}
