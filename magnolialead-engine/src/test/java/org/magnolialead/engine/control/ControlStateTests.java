package org.magnolialead.engine.control;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.Rank;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.FinishRequest;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.ForgetMember;
import org.magnolialead.api.command.ControlCommand.ForgetRequests;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.command.ControlCommand.ReleaseOwner;
import org.magnolialead.api.command.ControlCommand.ReplaceRoutes;
import org.magnolialead.api.command.ControlCommand.ReservePromotion;

/**
 * Guards against commands that violate the rules of the control state.
 */
class ControlStateTests {

	private ControlState state = ControlState.initial();

	private CommandResult apply(ControlCommand command) {
		ApplyResult applied = this.state.apply(command);
		this.state = applied.state();
		return applied.result();
	}

	private void createOwnedGroup() {
		apply(new RegisterDaemon("d1", "first", "a:1", "z1", false));
		List.of("m1", "m2", "m3").forEach((name) -> apply(new AnnounceMember(member(name))));
		TestChecks.check(apply(new AssignOwner("g", "d1", 0)).isAccepted(), context());
	}

	private void moveOwner() {
		apply(new RegisterDaemon("d2", "first", "a:2", "z2", false));
		apply(new ForgetDaemon("d1", "first"));
		apply(new AssignOwner("g", "d2", 1));
	}

	private GroupView group() {
		return this.state.group("g").orElseThrow();
	}

	private static MemberDescription member(String name) {
		return new MemberDescription("g", name, "h:1", "z1", 2, 20, false);
	}

	private static ChangeConfiguration changeQueueLimit(String requestId, long expectedVersion, int limit) {
		return new ChangeConfiguration(requestId, expectedVersion, null, null, null, limit);
	}

	private String context() {
		return "view version " + this.state.viewVersion();
	}

	private ControlState state() {
		return this.state;
	}

	@Nested
	class Configuration {

		/**
		 * Guards against accepting two changes to the same version.
		 */
		@Test
		void oneOfTwoChangesToSameVersionIsAccepted() {
			TestChecks.check(apply(changeQueueLimit("first", 0, 100)).isAccepted(), context());
			CommandResult second = apply(changeQueueLimit("second", 0, 200));
			TestChecks.checkEqual(ErrorCode.VERSION_CONFLICT, second.error(), context());
			TestChecks.check(second.message().contains("version 0") && second.message().contains("version 1"),
					second.message());
			TestChecks.checkEqual(100, state().configuration().queueLimit(), context());
		}

		/**
		 * Guards against refusing a request that is repeated because its answer was lost,
		 * and against a repetition that undoes a later change.
		 */
		@Test
		void resendReceivesFirstAnswerAndChangesNothing() {
			CommandResult first = apply(changeQueueLimit("first", 0, 100));
			CommandResult conflict = apply(changeQueueLimit("second", 0, 150));
			apply(changeQueueLimit("third", 1, 200));
			TestChecks.checkEqual(first, apply(changeQueueLimit("first", 0, 100)), context());
			TestChecks.checkEqual(conflict, apply(changeQueueLimit("second", 0, 150)), context());
			TestChecks.checkEqual(200, state().configuration().queueLimit(), context());
		}

		/**
		 * Guards against unlimited growth of the recorded answers, and against removing
		 * them early.
		 */
		@Test
		void latestAnswersAreRetained() {
			for (int number = 0; number <= RecordedAnswers.LIMIT; number++) {
				apply(changeQueueLimit("request-" + number, number, 100 + number));
			}
			TestChecks.checkEqual(RecordedAnswers.LIMIT, state().answers().byRequest().size(), context());
			TestChecks.check(apply(changeQueueLimit("request-1", 1, 101)).isAccepted(), context());
			TestChecks.checkEqual(ErrorCode.VERSION_CONFLICT, apply(changeQueueLimit("request-0", 0, 100)).error(),
					context());
		}

		/**
		 * Guards against an invalid command in the log that stops every control daemon.
		 */
		@Test
		void invalidCommandsAreRefused() {
			List<ControlCommand> invalid = List.of(changeQueueLimit("limit", 0, 0), changeQueueLimit(" ", 0, 5),
					new ChangeConfiguration("floors", 0, null, null, Map.of(Rank.STANDARD, 0.6), null),
					new ChangeConfiguration("profile", 0, null, List.of("missing"), null, null),
					new AnnounceMember(null), new RegisterDaemon(null, "i", "a", "z", false),
					new ForgetMember(null, null), new ConfirmPrimary("missing", 1, 1, null),
					new BeginRequest("missing", 1, 1, null, null, 1), new AssignOwner(null, null, 0));
			invalid.forEach((command) -> TestChecks.check(!apply(command).isAccepted(), command.toString()));
			TestChecks.checkEqual(ControlState.initial().view(), state().view(), context());
		}

	}

	@Nested
	class Routes {

		private RouteTable table(long number, String document) {
			Route route = new Route("database", "g", FreshnessRule.LATEST, 0, 0, 800);
			return new RouteTable(number, Map.of("database", route), Map.of("g", 18), 3_000, document);
		}

		/**
		 * Guards against returning to an earlier route table, and against refusing an
		 * accepted table that an operator sends again.
		 */
		@Test
		void highestNumberStaysInForceAndEveryNumberIsAccepted() {
			TestChecks.check(apply(new ReplaceRoutes(table(7, "seven"))).isAccepted(), context());
			TestChecks.check(apply(new ReplaceRoutes(table(5, "five"))).isAccepted(), context());
			TestChecks.check(apply(new ReplaceRoutes(table(7, "seven"))).isAccepted(), context());
			TestChecks.checkEqual("seven", state().configuration().routes().document(), context());
			TestChecks.check(apply(new ReplaceRoutes(table(9, "nine"))).isAccepted(), context());
			TestChecks.checkEqual("nine", state().configuration().routes().document(), context());
		}

		/**
		 * Guards against applying different content with the present number.
		 */
		@Test
		void otherContentUnderTheSameNumberChangesNothing() {
			apply(new ReplaceRoutes(table(7, "seven")));
			apply(new ReplaceRoutes(table(7, "other")));
			TestChecks.checkEqual("seven", state().configuration().routes().document(), context());
		}

		/**
		 * Guards against a change of the other configuration that removes the routes.
		 */
		@Test
		void profilesAndRoutesChangeIndependently() {
			apply(new ReplaceRoutes(table(7, "seven")));
			apply(changeQueueLimit("request", state().configuration().version(), 9));
			TestChecks.checkEqual(7L, state().configuration().routes().number(), context());
		}

	}

	@Nested
	class Announcements {

		/**
		 * Guards against a delayed report that puts a member back in use after it has
		 * left, also after a restart of the control daemons.
		 */
		@Test
		void announcementOfAMemberThatHasLeftIsIgnored() {
			apply(new AnnounceMember(announcement("m1", "a:1", false, 100)));
			apply(new AnnounceMember(announcement("m2", "a:2", false, 100)));
			apply(new ForgetMember("g", "m1", 100));
			ControlStateTests.this.state = ControlSnapshot.of(ControlStateTests.this.state).toState();
			TestChecks.check(apply(new AnnounceMember(announcement("m1", "a:1", false, 100))).isAccepted(), context());
			TestChecks.checkEqual(Set.of("m2"), group().members().keySet(), context());
			apply(new AnnounceMember(announcement("m1", "a:1", false, 200)));
			TestChecks.checkEqual(Set.of("m1", "m2"), group().members().keySet(), context());
		}

		/**
		 * Guards against a delayed deregistration of a former process that removes the
		 * present one.
		 */
		@Test
		void deregistrationOfAnEarlierProcessKeepsThePresentOne() {
			apply(new AnnounceMember(announcement("m1", "a:1", false, 200)));
			TestChecks.check(apply(new ForgetMember("g", "m1", 100)).isAccepted(), context());
			TestChecks.checkEqual(Set.of("m1"), group().members().keySet(), context());
		}

		/**
		 * Guards against reports that name an invented group, each of which would occupy
		 * the state and an owner.
		 */
		@Test
		void groupThatNoRouteNamesIsNotCreated() {
			Route route = new Route("db", "routed", FreshnessRule.LATEST, 0, 0, 800);
			apply(new ReplaceRoutes(new RouteTable(1, Map.of("db", route), Map.of("routed", 18), 3_000, "")));
			TestChecks.check(apply(new AnnounceMember(announcement("m1", "a:1", false, 100))).isAccepted(), context());
			TestChecks.check(ControlStateTests.this.state.group("g").isEmpty(), context());
		}

		/**
		 * Guards against an address that no daemon can use, which each of them would try
		 * again and again.
		 */
		@Test
		void memberWithAnUnusableAddressIsRefused() {
			List.of("a", "a:", ":1", "a:0", "a:70000", "a:-1", "a:99999999999", "a:1.5")
				.forEach((address) -> TestChecks
					.check(!apply(new AnnounceMember(announcement("m1", address, false, 100))).isAccepted(), address));
		}

		private MemberDescription announcement(String name, String address, boolean leaving, long startedAt) {
			return new MemberDescription("g", name, address, "z1", 2, 18, leaving, false, startedAt);
		}

		/**
		 * Guards against a delayed announcement of a crashed process that replaces its
		 * successor at the same address.
		 */
		@Test
		void delayedAnnouncementOfReplacedProcessIsIgnored() {
			apply(new AnnounceMember(announcement("old", "a:1", false, 100)));
			apply(new AnnounceMember(announcement("new", "a:1", false, 200)));
			apply(new AnnounceMember(announcement("old", "a:1", false, 100)));
			TestChecks.checkEqual(Set.of("new"), group().members().keySet(), context());
		}

		/**
		 * Guards against a delayed announcement after which a leaving member no longer
		 * counts as leaving.
		 */
		@Test
		void leavingMemberDoesNotReturnAsSameProcess() {
			apply(new AnnounceMember(announcement("m1", "a:1", true, 100)));
			apply(new AnnounceMember(announcement("m1", "a:1", false, 100)));
			TestChecks.check(group().member("m1").orElseThrow().leaving(), context());
			apply(new AnnounceMember(announcement("m1", "a:1", false, 200)));
			TestChecks.check(!group().member("m1").orElseThrow().leaving(), context());
		}

	}

	@Nested
	class Owners {

		/**
		 * Guards against a restarted process that takes over groups of its paused
		 * predecessor, whose lease may still be valid.
		 */
		@Test
		void newIncarnationIsRefusedUntilOldOneIsForgotten() {
			createOwnedGroup();
			CommandResult early = apply(new RegisterDaemon("d1", "second", "a:1", "z1", false));
			TestChecks.checkEqual(ErrorCode.STALE_COMMAND, early.error(), context());
			TestChecks.check(!apply(new ForgetDaemon("d1", "second")).isAccepted(), context());
			TestChecks.check(apply(new ForgetDaemon("d1", "first")).isAccepted(), context());
			TestChecks.checkEqual("", group().owner(), context());
			TestChecks.check(apply(new RegisterDaemon("d1", "second", "a:1", "z1", false)).isAccepted(), context());
			TestChecks.check(apply(new AssignOwner("g", "d1", 1)).isAccepted(), context());
			TestChecks.checkEqual(2, group().ownerEpoch(), context());
		}

		/**
		 * Guards against a paused owner that resumes and acts in its released epoch.
		 */
		@Test
		void commandsOfReleasedEpochAreRefused() {
			createOwnedGroup();
			apply(new ConfirmPrimary("g", 1, 1, "m1"));
			apply(new ForgetDaemon("d1", "first"));
			apply(new RegisterDaemon("d1", "first", "a:1", "z1", false));
			List<ControlCommand> stale = List.of(new ReservePromotion("g", 1, 1, 2, "m2"),
					new ConfirmPrimary("g", 1, 1, "m1"), new BeginRequest("g", 1, 1, "k", "x", 1),
					new AssignOwner("g", "d1", 0));
			stale.forEach(
					(command) -> TestChecks.checkEqual(ErrorCode.STALE_COMMAND, apply(command).error(), context()));
			apply(new AssignOwner("g", "d1", 1));
			stale.forEach(
					(command) -> TestChecks.checkEqual(ErrorCode.STALE_COMMAND, apply(command).error(), context()));
			TestChecks.checkEqual(ErrorCode.STALE_COMMAND, apply(new ReleaseOwner("g", 1)).error(), context());
			TestChecks.checkEqual("d1", group().owner(), context());
		}

		/**
		 * Guards against a delayed heartbeat after which a daemon that is shutting down
		 * receives groups.
		 */
		@Test
		void drainingDaemonStaysDrainingAndReceivesNoGroup() {
			createOwnedGroup();
			apply(new RegisterDaemon("d1", "first", "a:1", "z1", true));
			apply(new RegisterDaemon("d1", "first", "a:1", "z1", false));
			apply(new ReleaseOwner("g", 1));
			TestChecks.checkEqual(ErrorCode.STALE_COMMAND, apply(new AssignOwner("g", "d1", 1)).error(), context());
		}

	}

	@Nested
	class Promotions {

		/**
		 * Guards against a term with two primaries, and against a decreasing term.
		 */
		@Test
		void onlyReservedPromotionIsConfirmed() {
			createOwnedGroup();
			TestChecks.check(!apply(new ConfirmPrimary("g", 1, 0, "m1")).isAccepted(), context());
			TestChecks.check(apply(new ConfirmPrimary("g", 1, 3, "m1")).isAccepted(), context());
			TestChecks.check(!apply(new ConfirmPrimary("g", 1, 4, "m2")).isAccepted(), context());
			TestChecks.check(apply(new ReservePromotion("g", 1, 3, 4, "m2")).isAccepted(), context());
			TestChecks.check(!apply(new ReservePromotion("g", 1, 3, 5, "m3")).isAccepted(), context());
			TestChecks.check(!apply(new ConfirmPrimary("g", 1, 4, "m3")).isAccepted(), context());
			TestChecks.check(apply(new ConfirmPrimary("g", 1, 4, "m2")).isAccepted(), context());
			TestChecks.check(!apply(new ConfirmPrimary("g", 1, 3, "m1")).isAccepted(), context());
			TestChecks.check(!apply(new ConfirmPrimary("g", 1, 4, "m1")).isAccepted(), context());
			TestChecks.checkEqual(4, group().term(), context());
			TestChecks.checkEqual("m2", group().primary(), context());
		}

		/**
		 * Guards against removing the primary or, during a promotion, a member that was
		 * considered in the choice of the candidate.
		 */
		@Test
		void memberIsKeptWhileItMayBecomePrimary() {
			createOwnedGroup();
			apply(new ConfirmPrimary("g", 1, 1, "m1"));
			TestChecks.check(!apply(new ForgetMember("g", "m1")).isAccepted(), context());
			apply(new ReservePromotion("g", 1, 1, 2, "m2"));
			TestChecks.check(!apply(new ForgetMember("g", "m3")).isAccepted(), context());
			apply(new ConfirmPrimary("g", 1, 2, "m2"));
			TestChecks.check(apply(new ForgetMember("g", "m3")).isAccepted(), context());
			TestChecks.checkEqual(2, group().members().size(), context());
		}

	}

	@Nested
	class Requests {

		/**
		 * Guards against executing a non-repeatable request under two owners.
		 */
		@Test
		void requestBeginsOnceAcrossEpochs() {
			createOwnedGroup();
			TestChecks.check(apply(new BeginRequest("g", 1, 1, "k", "x", 100)).request().newlyBegun(), context());
			TestChecks.check(!apply(new BeginRequest("g", 1, 1, "k", "x", 100)).request().newlyBegun(), context());
			moveOwner();
			CommandResult again = apply(new BeginRequest("g", 2, 1, "k", "x", 100));
			TestChecks.check(!again.request().newlyBegun(), context());
			TestChecks.checkEqual(1, again.request().ownerEpoch(), context());
			TestChecks.check(!apply(new FinishRequest("g", 2, 1, "k", false, null)).isAccepted(), context());
			TestChecks.check(apply(new FinishRequest("g", 1, 1, "k", true, new byte[] { 7 })).isAccepted(), context());
			CommandResult done = apply(new BeginRequest("g", 2, 1, "k", "x", 100));
			TestChecks.check(done.request().finished() && !done.request().newlyBegun(), context());
			TestChecks.check(Arrays.equals(new byte[] { 7 }, done.request().answer()), context());
			TestChecks.check(!apply(new FinishRequest("g", 1, 1, "k", false, null)).isAccepted(), context());
		}

		/**
		 * Guards against a key that remains reserved after a request that was never sent,
		 * and against reusing a key for another request.
		 */
		@Test
		void keyIsFreedOnlyByItsOwnRequest() {
			createOwnedGroup();
			apply(new BeginRequest("g", 1, 1, "k", "x", 100));
			TestChecks.checkEqual(ErrorCode.INVALID_IDEMPOTENCY_KEY,
					apply(new BeginRequest("g", 1, 1, "k", "y", 100)).error(), context());
			TestChecks.check(apply(new FinishRequest("g", 1, 1, "k", false, null)).isAccepted(), context());
			TestChecks.check(apply(new BeginRequest("g", 1, 2, "k", "y", 100)).request().newlyBegun(), context());
		}

		/**
		 * Guards against executing a request twice because a delayed duplicate
		 * FinishRequest of an earlier attempt frees the key of the present attempt.
		 */
		@Test
		void endOfEarlierAttemptDoesNotFreeKeyOfLaterAttempt() {
			createOwnedGroup();
			apply(new BeginRequest("g", 1, 1, "k", "x", 100));
			FinishRequest notRun = new FinishRequest("g", 1, 1, "k", false, null);
			TestChecks.check(apply(notRun).isAccepted(), context());
			apply(new BeginRequest("g", 1, 2, "k", "x", 100));
			TestChecks.checkEqual(ErrorCode.STALE_COMMAND, apply(notRun).error(), context());
			TestChecks.checkEqual(2, state().request("g", "k").orElseThrow().attempt(), context());
			TestChecks.check(apply(new FinishRequest("g", 1, 2, "k", true, null)).isAccepted(), context());
		}

		/**
		 * Guards against a delayed duplicate BeginRequest of an earlier attempt. If its
		 * record stayed, the end of the later attempt could not be recorded, or the
		 * record would be removed too early.
		 */
		@Test
		void laterAttemptReplacesRecordOfUnfinishedOne() {
			createOwnedGroup();
			apply(new BeginRequest("g", 1, 1, "k", "x", 100));
			TestChecks.check(apply(new BeginRequest("g", 1, 2, "k", "x", 900_000)).request().newlyBegun(), context());
			TestChecks.checkEqual(2, apply(new BeginRequest("g", 1, 1, "k", "x", 100)).request().attempt(), context());
			apply(new ForgetRequests(200));
			TestChecks.check(apply(new FinishRequest("g", 1, 2, "k", true, null)).isAccepted(), context());
			TestChecks.check(apply(new BeginRequest("g", 1, 3, "k", "x", 900_000)).request().finished(), context());
		}

		/**
		 * Guards against removing a record before its deadline, and against a ledger time
		 * that decreases when an earlier time is applied.
		 */
		@Test
		void requestIsRemovedAfterItsDeadline() {
			createOwnedGroup();
			apply(new BeginRequest("g", 1, 1, "k", "x", 100));
			apply(new ForgetRequests(100));
			TestChecks.check(state().request("g", "k").isPresent(), context());
			apply(new ForgetRequests(101));
			TestChecks.check(state().request("g", "k").isEmpty(), context());
			TestChecks.checkEqual(0, state().ledger().size(), context());
			apply(new ForgetRequests(50));
			TestChecks.checkEqual(101, state().ledger().time(), context());
		}

	}

	@Nested
	class RequestExpiry {

		/**
		 * Guards against removing too many or too few records, for few or many expired
		 * records within one minute and over several minutes.
		 */
		@Test
		void exactlyTheExpiredRecordsAreRemoved() {
			createOwnedGroup();
			for (int number = 0; number < 500; number++) {
				apply(new BeginRequest("g", 1, 1, "k" + number, "x", number * 1_000L));
			}
			for (int time : new int[] { 1_000, 3_500, 59_000, 60_000, 61_001, 300_500, 300_501, 499_000, 499_001 }) {
				apply(new ForgetRequests(time));
				int kept = 500 - Math.floorDiv(time + 999, 1_000);
				TestChecks.checkEqual(kept, state().ledger().size(), "time " + time);
				int[] listed = new int[1];
				state().ledger().namesByExpiryMinute().forEach((minute, names) -> listed[0] += names.size());
				TestChecks.checkEqual(kept, listed[0], "names at time " + time);
				TestChecks.check(kept == 0 || state().request("g", "k" + (500 - kept)).isPresent(), "time " + time);
			}
			TestChecks.checkEqual(0, state().ledger().namesByExpiryMinute().size(), context());
		}

	}

	@Nested
	class ViewChanges {

		/**
		 * Guards against a receiver that missed hundreds of changes and keeps removed
		 * daemons, or lacks one that was removed and registered again.
		 */
		@Test
		void outdatedDaemonReceivesAllMissedChanges() {
			createOwnedGroup();
			FleetView old = state().view();
			for (int number = 0; number < RemovedDaemons.LIMIT + 2; number++) {
				apply(new RegisterDaemon("x" + number, "i", "a:1", "z1", false));
				apply(new ForgetDaemon("x" + number, "i"));
				if (number == 300) {
					apply(new ForgetDaemon("d1", "first"));
					apply(new RegisterDaemon("d1", "second", "a:1", "z1", false));
					FleetViewChange change = state().changeSince(old.version());
					TestChecks.check(!change.complete(), context());
					TestChecks.checkEqual(state().view(), old.with(change), context());
				}
			}
			FleetViewChange change = state().changeSince(old.version());
			TestChecks.check(change.complete(), context());
			TestChecks.checkEqual(state().view(), old.with(change), context());
		}

		/**
		 * Guards against changes whose size depends on the fleet if only one group
		 * changed.
		 */
		@Test
		void changeContainsOnlyChangedRecords() {
			createOwnedGroup();
			long version = state().viewVersion();
			ControlState before = state();
			apply(new AnnounceMember(member("m1")));
			TestChecks.check(before == state(), context());
			apply(new ConfirmPrimary("g", 1, 1, "m1"));
			FleetViewChange change = state().changeSince(version);
			TestChecks.checkEqual(1, change.groups().size(), context());
			TestChecks.check(change.daemons().isEmpty(), context());
			TestChecks.checkEqual(null, change.configuration(), context());
		}

	}

}
