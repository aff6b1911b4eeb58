package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.engine.owner.FailoverDecision.Primary;

class FailoverDecisionTests {

	private static final long MILLISECOND = 1_000_000L;

	private FailoverDecision decision;

	private GroupView view;

	private long now;

	private final List<FailoverAction> actions = new ArrayList<>();

	private void takeOver(long term, String primary, long reservedTerm, String leaving) {
		Map<String, MemberDescription> members = new HashMap<>();
		for (String name : List.of("a", "b", "c")) {
			members.put(name, new MemberDescription("group", name, name + ":1", "zone", 2, 20, name.equals(leaving)));
		}
		this.view = new GroupView("group", 1, term, primary, reservedTerm, "", "owner", 1, members);
		this.decision = FailoverDecision.takeOver(this.view, this.now);
	}

	private void next(FailoverEvent... events) {
		FailoverDecision.Transition transition = this.decision.next(List.of(events), this.now);
		this.decision = transition.decision();
		this.actions.addAll(transition.actions());
	}

	// Advances the time in steps of 50 ms, each of which delivers the given responses
	// again.
	private void advanceTime(long milliseconds, FailoverEvent... repeated) {
		long end = this.now + milliseconds * MILLISECOND;
		while (this.now - end < 0) {
			this.now += 50 * MILLISECOND;
			FailoverEvent[] events = new FailoverEvent[repeated.length];
			for (int i = 0; i < repeated.length; i++) {
				MemberStatus status = ((FailoverEvent.StatusAnswered) repeated[i]).status();
				events[i] = new FailoverEvent.StatusAnswered(status, this.now, this.now);
			}
			next(events);
		}
	}

	private FailoverEvent status(String member, MemberRole role, long term, long positionTerm, long index) {
		MemberStatus status = new MemberStatus("group", member, role, term, new LogPosition(positionTerm, index));
		return new FailoverEvent.StatusAnswered(status, this.now, this.now);
	}

	private FailoverEvent replica(String member, long index) {
		return status(member, MemberRole.REPLICA, 1, 1, index);
	}

	private FailoverEvent primary(String member, long term, long index) {
		return status(member, MemberRole.PRIMARY, term, term, index);
	}

	// Guards against a sequence of steps that acknowledges writes of two primaries.
	@Test
	void replacesUnresponsivePrimaryByMostAdvancedMember() {
		takeOver(1, "a", 1, "");
		advanceTime(950, replica("b", 5), replica("c", 7));
		Expect.equal(List.of(), this.actions);
		Expect.that(this.decision.mayAcknowledge(1), "the primary is active until its term is sealed");
		advanceTime(50, replica("b", 5), replica("c", 7));
		Expect.equal(new FailoverAction.Seal(1), this.actions.get(0));
		Expect.that(!this.decision.mayAcknowledge(1), "nothing is acknowledged after the term is sealed");
		advanceTime(50, replica("b", 5), replica("c", 7));
		Expect.equal(List.of(new FailoverAction.Seal(1), new FailoverAction.Reserve(1, 2, "c")), this.actions);
		this.actions.clear();
		next(new FailoverEvent.ReserveAnswered(2, true));
		Expect.equal(List.of(new FailoverAction.Promote("c", "c:1", 2)), this.actions);
		this.actions.clear();
		next(new FailoverEvent.PromoteAnswered("c", 2, true));
		Expect.equal(List.of(new FailoverAction.Confirm(2, "c"), new FailoverAction.Follow("b", "b:1", 2, "c:1")),
				this.actions);
		Expect.equal(Optional.empty(), this.decision.primary());
		next(new FailoverEvent.ConfirmAnswered(2, true));
		Expect.equal(Optional.of(new Primary("c", 2)), this.decision.primary());
	}

	// Guards against a promotion based on positions read before the seal.
	@Test
	void ignoresPositionsRequestedBeforeSeal() {
		takeOver(1, "a", 1, "");
		next(replica("b", 5), replica("c", 7));
		FailoverEvent earlyFromB = replica("b", 9);
		FailoverEvent earlyFromC = replica("c", 9);
		advanceTime(1_000, replica("b", 5), replica("c", 7));
		Expect.equal(List.of(new FailoverAction.Seal(1)), this.actions);
		next(earlyFromB, earlyFromC);
		Expect.equal(FailoverPhase.COLLECTING, this.decision.phase());
	}

	// Guards against promotion by a minority, which may lack acknowledged writes.
	@Test
	void waitsWithoutMajority() {
		takeOver(1, "a", 1, "");
		advanceTime(5_000, replica("b", 5));
		Expect.equal(List.of(), this.actions);
		Expect.equal(FailoverPhase.WAITING_FOR_MAJORITY, this.decision.phase());
		advanceTime(100, replica("b", 5), primary("a", 1, 5));
		Expect.equal(FailoverPhase.STEADY, this.decision.phase());
	}

	// Guards against failovers caused by short interruptions of the primary or by a stall
	// of the owner.
	@Test
	void toleratesInterruptionsOfPrimaryAndStallOfOwner() {
		takeOver(1, "a", 1, "");
		for (int i = 0; i < 5; i++) {
			advanceTime(900, replica("b", 5), replica("c", 5));
			advanceTime(50, replica("b", 5), replica("c", 5), primary("a", 1, 5));
		}
		this.now += 60_000 * MILLISECOND;
		next(replica("b", 5), replica("c", 5));
		advanceTime(100, replica("b", 5), replica("c", 5), primary("a", 1, 5));
		Expect.equal(List.of(), this.actions);
	}

	// Guards against a promotion that does not complete, and against reuse of its term.
	@Test
	void retriesFailedPromotionWithNewTermAndOtherMember() {
		takeOver(1, "a", 1, "");
		advanceTime(1_050, replica("b", 5), replica("c", 7), replica("a", 4));
		next(new FailoverEvent.ReserveAnswered(2, true), new FailoverEvent.PromoteAnswered("c", 2, false));
		this.actions.clear();
		advanceTime(50, replica("b", 5), replica("c", 7), replica("a", 4));
		Expect.equal(List.of(new FailoverAction.Reserve(1, 3, "b")), this.actions);
		next(new FailoverEvent.ReserveAnswered(2, true));
		Expect.equal(FailoverPhase.RESERVING, this.decision.phase());
		next(new FailoverEvent.ReserveAnswered(3, true));
		this.actions.clear();
		advanceTime(1_000, replica("b", 5), replica("c", 7));
		Expect.that(this.actions.contains(new FailoverAction.Promote("b", "b:1", 3)), "the command must be repeated");
		Expect.that(this.actions.contains(new FailoverAction.Seal(3)), "an unanswered promotion must be abandoned");
	}

	// Guards against reuse of a term whose promotion an earlier owner may have commanded.
	@Test
	void newOwnerReservesBeyondReservedPromotion() {
		takeOver(1, "a", 4, "");
		next();
		advanceTime(50, primary("a", 1, 9), replica("b", 9));
		Expect.equal(List.of(new FailoverAction.Seal(4), new FailoverAction.Reserve(4, 5, "b")), this.actions);
		Expect.equal(Optional.empty(), this.decision.primary());
	}

	// Guards against a leaving primary whose latest writes no replica holds.
	@Test
	void replacesLeavingPrimaryOnceReplicaHoldsItsLog() {
		takeOver(1, "a", 1, "a");
		advanceTime(50, primary("a", 1, 9), replica("b", 7), replica("c", 6));
		Expect.equal(List.of(new FailoverAction.Seal(1)), this.actions);
		advanceTime(500, primary("a", 1, 9), replica("b", 8), replica("c", 6));
		Expect.equal(1, this.actions.size());
		advanceTime(50, primary("a", 1, 9), replica("b", 9), replica("c", 6));
		Expect.equal(new FailoverAction.Reserve(1, 2, "b"), this.actions.get(1));
	}

	// Guards against selecting an empty member of a new group while another member holds
	// the data.
	@Test
	void firstStartPrefersReportedPrimaryAndWaitsForAllMembers() {
		takeOver(0, "", 0, "");
		advanceTime(3_000, status("b", MemberRole.REPLICA, 0, 0, 0), status("c", MemberRole.REPLICA, 0, 0, 0));
		Expect.equal(List.of(), this.actions);
		advanceTime(50, status("b", MemberRole.REPLICA, 0, 0, 0), status("c", MemberRole.REPLICA, 0, 0, 0),
				primary("a", 6, 100));
		Expect.equal(List.of(new FailoverAction.Reserve(0, 7, "a")), this.actions);
	}

	// Guards against members that remain primary of an old term, and against excessive
	// commands to them.
	@Test
	void commandsOldPrimaryToFollow() {
		takeOver(3, "a", 3, "");
		advanceTime(250, primary("a", 3, 9), primary("b", 2, 9));
		Expect.equal(List.of(new FailoverAction.Follow("b", "b:1", 3, "a:1")), this.actions);
	}

}
