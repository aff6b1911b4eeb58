package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.FinishRequest;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.ForgetRequests;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.command.ControlCommand.ReleaseOwner;
import org.magnolialead.api.command.ControlCommand.ReservePromotion;

/**
 * Compares the state with a simple mutable model after each of a random sequence of
 * commands, and changes from random earlier views with the complete view. Guards against
 * errors in sequences of commands that no other test covers.
 */
class ControlStateModelTests {

	private static final int STEPS = 6_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void stateEqualsModel(long seed) {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		Model model = new Model();
		ControlState state = ControlState.initial();
		List<FleetView> views = new ArrayList<>();
		for (int step = 0; step < STEPS; step++) {
			String context = "seed " + seed + " step " + step;
			ControlCommand command = randomCommand(random, state, step);
			ApplyResult applied = state.apply(command);
			CommandResult result = applied.result();
			TestChecks.checkEqual(model.apply(command), result.isAccepted(), context + " " + command + " " + result);
			state = applied.state();
			model.compare(state, context + " " + command);
			if (random.nextInt(20) == 0) {
				views.add(state.view());
			}
			if (!views.isEmpty() && random.nextInt(10) == 0) {
				FleetView earlier = views.get(random.nextInt(views.size()));
				TestChecks.checkEqual(state.view(), earlier.with(state.changeSince(earlier.version())), context);
			}
		}
		FleetView fresh = FleetView.EMPTY.with(state.changeSince(0));
		TestChecks.checkEqual(state.view(), fresh, "seed " + seed);
		ControlState restored = ControlSnapshot.of(state).toState();
		model.compare(restored, "seed " + seed + " restored");
		TestChecks.checkEqual(state.view(), restored.view(), "seed " + seed + " restored");
	}

	private static ControlCommand randomCommand(RandomGenerator random, ControlState state, int step) {
		String name = "g" + random.nextInt(3);
		GroupView group = state.groups().get(name);
		long epoch = ((group != null) ? group.ownerEpoch() : 0) - ((random.nextInt(6) == 0) ? 1 : 0);
		long reserved = (group != null) ? group.reservedTerm() : 0;
		String daemon = "d" + random.nextInt(3);
		String incarnation = "i" + random.nextInt(2);
		String member = "m" + random.nextInt(3);
		String key = "k" + random.nextInt(4);
		return switch (random.nextInt(12)) {
			case 0 -> new AnnounceMember(new MemberDescription(name, member, "h:" + (1 + random.nextInt(3)), "z1", 2,
					20, random.nextBoolean()));
			case 1, 2 -> new RegisterDaemon(daemon, incarnation, "h:1", "z1", random.nextInt(8) == 0);
			case 3 -> new ForgetDaemon(daemon, incarnation);
			case 4, 5 -> new AssignOwner(name, daemon, epoch);
			case 6 -> new ReleaseOwner(name, epoch);
			case 7 ->
				new ReservePromotion(name, epoch, reserved - random.nextInt(2), reserved + random.nextInt(3), member);
			case 8 -> new ConfirmPrimary(name, epoch, reserved + random.nextInt(2), member);
			case 9 -> new BeginRequest(name, epoch, 1 + random.nextInt(3), key, "x" + random.nextInt(2), step + 50);
			case 10 -> new FinishRequest(name, epoch, 1 + random.nextInt(3), key, random.nextBoolean(), null);
			default -> (random.nextInt(3) == 0) ? new ForgetRequests(step - random.nextInt(100))
					: new ChangeConfiguration("r" + step, state.configuration().version() - random.nextInt(2), null,
							null, null, 1 + random.nextInt(100));
		};
	}

	private static final class ModelGroup {

		private final Map<String, MemberDescription> members = new HashMap<>();

		private final Map<String, ModelRequest> requests = new HashMap<>();

		private String owner = "";

		private long epoch;

		private long term;

		private String primary = "";

		private long reservedTerm;

		private String candidate = "";

		boolean isOwnedInEpoch(long ownerEpoch) {
			return !this.owner.isEmpty() && this.epoch == ownerEpoch;
		}

	}

	private record ModelRequest(String digest, long epoch, long attempt, boolean finished, long deadline) {
	}

	private static final class Model {

		private final Map<String, ModelGroup> groups = new HashMap<>();

		private final Map<String, RegisterDaemon> daemons = new HashMap<>();

		private long configurationVersion;

		private long ledgerTime;

		boolean apply(ControlCommand command) {
			if (command instanceof AnnounceMember announce) {
				this.groups.computeIfAbsent(announce.member().group(), (name) -> new ModelGroup()).members
					.put(announce.member().member(), announce.member());
				return true;
			}
			if (command instanceof RegisterDaemon register) {
				RegisterDaemon present = this.daemons.putIfAbsent(register.daemon(), register);
				if (present != null && present.incarnation().equals(register.incarnation()) && !present.draining()) {
					this.daemons.put(register.daemon(), register);
				}
				return present == null || present.incarnation().equals(register.incarnation());
			}
			if (command instanceof ForgetDaemon forget) {
				RegisterDaemon present = this.daemons.get(forget.daemon());
				boolean same = present == null || present.incarnation().equals(forget.incarnation());
				if (same) {
					this.daemons.remove(forget.daemon());
					this.groups.values()
						.forEach((group) -> group.owner = group.owner.equals(forget.daemon()) ? "" : group.owner);
				}
				return same;
			}
			if (command instanceof ForgetRequests forget) {
				this.ledgerTime = Math.max(this.ledgerTime, forget.wallClockTime());
				this.groups.values()
					.forEach((group) -> group.requests.values()
						.removeIf((request) -> request.deadline() < forget.wallClockTime()));
				return true;
			}
			if (command instanceof ChangeConfiguration change) {
				boolean accepted = change.expectedVersion() == this.configurationVersion;
				this.configurationVersion += accepted ? 1 : 0;
				return accepted;
			}
			return applyToOwnership(command);
		}

		private boolean applyToOwnership(ControlCommand command) {
			if (command instanceof AssignOwner assign) {
				ModelGroup group = this.groups.get(assign.group());
				RegisterDaemon daemon = this.daemons.get(assign.daemon());
				boolean accepted = group != null && group.owner.isEmpty() && group.epoch == assign.expectedEpoch()
						&& daemon != null && !daemon.draining();
				if (accepted) {
					group.owner = assign.daemon();
					group.epoch++;
				}
				return accepted;
			}
			if (command instanceof ReleaseOwner release) {
				ModelGroup group = this.groups.get(release.group());
				boolean accepted = group != null && group.epoch == release.ownerEpoch();
				if (accepted) {
					group.owner = "";
				}
				return accepted;
			}
			if (command instanceof ReservePromotion reserve) {
				ModelGroup group = this.groups.get(reserve.group());
				boolean accepted = group != null && group.isOwnedInEpoch(reserve.ownerEpoch())
						&& group.reservedTerm == reserve.expectedReservedTerm()
						&& reserve.newTerm() > group.reservedTerm && group.members.containsKey(reserve.candidate());
				if (accepted) {
					group.reservedTerm = reserve.newTerm();
					group.candidate = reserve.candidate();
				}
				return accepted;
			}
			return (command instanceof ConfirmPrimary confirm) ? confirm(confirm) : applyToRequests(command);
		}

		private boolean confirm(ConfirmPrimary confirm) {
			ModelGroup group = this.groups.get(confirm.group());
			if (group == null || !group.isOwnedInEpoch(confirm.ownerEpoch())
					|| !group.members.containsKey(confirm.primary())) {
				return false;
			}
			if (confirm.term() == group.term && confirm.term() > 0) {
				return confirm.primary().equals(group.primary);
			}
			boolean first = group.term == 0 && confirm.term() > group.reservedTerm;
			boolean reserved = confirm.term() > group.term && confirm.term() == group.reservedTerm
					&& confirm.primary().equals(group.candidate);
			if (first || reserved) {
				group.term = confirm.term();
				group.reservedTerm = confirm.term();
				group.primary = confirm.primary();
				group.candidate = "";
			}
			return first || reserved;
		}

		private boolean applyToRequests(ControlCommand command) {
			if (command instanceof BeginRequest begin) {
				ModelGroup group = this.groups.get(begin.group());
				if (group == null || !group.isOwnedInEpoch(begin.ownerEpoch())) {
					return false;
				}
				ModelRequest begun = new ModelRequest(begin.digest(), begin.ownerEpoch(), begin.attempt(), false,
						begin.forgetDeadline());
				ModelRequest present = group.requests.putIfAbsent(begin.key(), begun);
				boolean accepted = present == null || present.digest().equals(begin.digest());
				if (present != null && accepted && !present.finished() && present.epoch() == begin.ownerEpoch()
						&& present.attempt() < begin.attempt()) {
					group.requests.put(begin.key(), begun);
				}
				return accepted;
			}
			FinishRequest finish = (FinishRequest) command;
			ModelGroup group = this.groups.get(finish.group());
			ModelRequest present = (group != null) ? group.requests.get(finish.key()) : null;
			if (present == null) {
				return group != null && !finish.executed();
			}
			if (present.epoch() != finish.ownerEpoch() || present.attempt() != finish.attempt()
					|| (present.finished() && !finish.executed())) {
				return false;
			}
			if (finish.executed()) {
				group.requests.put(finish.key(), new ModelRequest(present.digest(), present.epoch(), present.attempt(),
						true, present.deadline()));
			}
			else {
				group.requests.remove(finish.key());
			}
			return true;
		}

		void compare(ControlState state, String context) {
			TestChecks.checkEqual(this.configurationVersion, state.configuration().version(), context);
			TestChecks.checkEqual(this.ledgerTime, state.ledger().time(), context);
			TestChecks.checkEqual(this.groups.size(), state.groups().size(), context);
			TestChecks.checkEqual(this.daemons.size(), state.daemons().size(), context);
			this.daemons.forEach((name, daemon) -> {
				TestChecks.checkEqual(daemon.incarnation(), state.daemons().get(name).incarnation(), context);
				TestChecks.checkEqual(daemon.draining(), state.daemons().get(name).draining(), context);
			});
			int requests = 0;
			for (Map.Entry<String, ModelGroup> entry : this.groups.entrySet()) {
				ModelGroup expected = entry.getValue();
				GroupView found = state.groups().get(entry.getKey());
				GroupView expectedView = new GroupView(entry.getKey(), found.version(), expected.term, expected.primary,
						expected.reservedTerm, expected.candidate, expected.owner, expected.epoch, expected.members);
				TestChecks.checkEqual(expectedView, found, context);
				requests += expected.requests.size();
				expected.requests.forEach((key, request) -> {
					TestChecks.checkEqual(request.epoch(),
							state.request(entry.getKey(), key).orElseThrow().ownerEpoch(), context);
					TestChecks.checkEqual(request.attempt(), state.request(entry.getKey(), key).orElseThrow().attempt(),
							context);
					TestChecks.checkEqual(request.finished(),
							state.request(entry.getKey(), key).orElseThrow().finished(), context);
				});
			}
			TestChecks.checkEqual(requests, state.ledger().size(), context);
		}

	}

}
