package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.SchedulerSimulation.Phase;

class GroupSchedulerTests {

	private static final long MILLISECOND = SchedulerSimulation.MILLISECOND;

	private static final long LATER = 10_000 * MILLISECOND;

	private final GroupScheduler<String> scheduler = new GroupScheduler<>(SchedulingPolicy.RANK_FLOORS,
			SchedulerSimulation.SETTINGS);

	private Admission offer(String work, Rank rank, long now, long deadline, String... members) {
		return this.scheduler.offer(new WorkItem<>(work, rank, now, deadline, (time) -> List.of(members)), now);
	}

	private List<String> dispatched(long now) {
		return this.scheduler.dispatch(now).stream().map(Dispatch::work).toList();
	}

	// Guards against errors in the counts on which early refusal is based.
	@Test
	void orderedQueueAgreesWithSortedList() {
		Random random = new Random(5);
		OrderedQueue<String> queue = new OrderedQueue<>();
		List<QueueEntry<String>> model = new ArrayList<>();
		for (int i = 0; i < 5_000; i++) {
			if (model.isEmpty() || random.nextInt(5) < 3) {
				WorkItem<String> item = new WorkItem<>("work", Rank.URGENT, 0, 0, (now) -> List.of());
				QueueEntry<String> entry = new QueueEntry<>(item, random.nextInt(1_000), i);
				queue.add(entry);
				model.add(entry);
			}
			else {
				queue.remove(model.remove(random.nextInt(model.size())));
			}
			long order = random.nextInt(1_000);
			Expect.equal(model.size(), queue.size());
			Expect.equal((int) model.stream().filter((entry) -> entry.order() <= order).count(),
					queue.countUpTo(order));
			if (!model.isEmpty()) {
				Expect.that(model.stream().noneMatch((entry) -> entry.precedes(queue.first())),
						"first entry must precede all others");
			}
		}
	}

	@Nested
	class Order {

		// Guards against urgent work that waits behind work of lower ranks.
		@Test
		void servesRanksStrictlyAndByDeadlineWithinRank() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("a", 3));
			offer("browsing", Rank.BROWSING, 0, 5 * MILLISECOND, "a");
			offer("late", Rank.URGENT, 0, 90 * MILLISECOND, "a");
			offer("early", Rank.URGENT, 0, 80 * MILLISECOND, "a");
			offer("standard", Rank.STANDARD, 0, 10 * MILLISECOND, "a");
			Expect.equal(List.of("early", "late", "standard"), dispatched(0));
		}

		// Guards against a queue head that only the busy primary may serve and that
		// blocks the replicas.
		@Test
		void idleReplicaServesEligibleWorkBehindBlockedWork() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("primary", 1, "replica", 1));
			for (int i = 0; i < 300; i++) {
				offer("write" + i, Rank.URGENT, 0, LATER, "primary");
			}
			offer("read", Rank.BROWSING, 0, LATER, "replica", "primary");
			Expect.equal(List.of("write0", "read"), dispatched(0));
		}

		// Guards against reads that take the primary's slots from writes whenever the
		// replicas are briefly busy, and against reads that wait longer than one service
		// time.
		@Test
		void readsWaitBrieflyForReplicas() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("primary", 1, "replica", 1));
			offer("first", Rank.BROWSING, 0, LATER, "replica", "primary");
			offer("second", Rank.BROWSING, 0, LATER, "replica", "primary");
			Expect.equal(List.of("first"), dispatched(0));
			Expect.equal(List.of(), dispatched(ServiceTimeEstimate.INITIAL_NANOSECONDS - 1));
			Expect.equal(List.of("second"), dispatched(ServiceTimeEstimate.INITIAL_NANOSECONDS));
		}

		// Guards against reads that wait for a replica without slots.
		@Test
		void readsUseThePrimaryIfNoReplicaHasSlots() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("primary", 2));
			offer("read", Rank.BROWSING, 0, LATER, "replica", "primary");
			Expect.equal(List.of("read"), dispatched(0));
		}

		// Guards against urgent reads that take the primary's slots from urgent writes,
		// and against a wait that exhausts a short timeout.
		@Test
		void urgentReadsWaitAtMostAQuarterOfTheirTime() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("primary", 1, "replica", 1));
			offer("first", Rank.URGENT, 0, LATER, "replica", "primary");
			offer("second", Rank.URGENT, 0, 2 * MILLISECOND, "replica", "primary");
			offer("third", Rank.URGENT, 0, LATER, "replica", "primary");
			Expect.equal(List.of("second"), dispatched(0));
			Expect.equal(List.of(), dispatched(MILLISECOND / 2));
			Expect.equal(List.of("first"), dispatched(MILLISECOND));
		}

		// Guards against work that keeps waiting after a replica has caught up.
		@Test
		void findsMembersThatBecomeEligibleWhileWorkWaits() {
			Map<Integer, List<String>> eligible = new HashMap<>();
			GroupSchedulerTests.this.scheduler.capacity(Map.of("replica", 1));
			for (int i = 0; i < 100; i++) {
				int number = i;
				MemberSelector selector = (now) -> eligible.getOrDefault(number, List.of());
				GroupSchedulerTests.this.scheduler.offer(new WorkItem<>("read" + i, Rank.BROWSING, 0, LATER, selector),
						0);
			}
			eligible.put(99, List.of("replica"));
			List<String> started = new ArrayList<>();
			for (int i = 0; i < 7; i++) {
				started.addAll(dispatched(i));
			}
			Expect.equal(List.of("read99"), started);
		}

		// Guards against new work for a leaving member, and against losing track of its
		// occupied slots.
		@Test
		void removedMemberReceivesNoWorkWhileItsStatementsFinish() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("a", 2));
			offer("first", Rank.URGENT, 0, LATER, "a");
			Dispatch<String> first = GroupSchedulerTests.this.scheduler.dispatch(0).get(0);
			GroupSchedulerTests.this.scheduler.capacity(Map.of());
			offer("second", Rank.URGENT, 0, LATER, "a");
			Expect.equal(List.of(), dispatched(0));
			GroupSchedulerTests.this.scheduler.finished(first, MILLISECOND);
			Expect.failure(MagnolialeadException.class,
					() -> GroupSchedulerTests.this.scheduler.finished(first, MILLISECOND));
			GroupSchedulerTests.this.scheduler.capacity(Map.of("a", 1));
			Expect.equal(List.of("second"), dispatched(MILLISECOND));
		}

	}

	@Nested
	class Refusal {

		// Guards against refusals caused by queued work for other members.
		@Test
		void neverRefusesWhileAnEligibleSlotIsIdle() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("primary", 1, "replica", 1));
			for (int i = 0; i < SchedulerSimulation.SETTINGS.queueLimit(); i++) {
				offer("read" + i, Rank.BROWSING, 0, LATER, "primary");
			}
			// The limit also applies to items that are offered before a dispatch.
			Expect.instance(Admission.Refused.class, offer("refused", Rank.BROWSING, 0, LATER, "primary"));
			GroupSchedulerTests.this.scheduler.dispatch(0);
			Expect.instance(Admission.Admitted.class, offer("last", Rank.BROWSING, 0, LATER, "primary"));
			Expect.instance(Admission.Refused.class, offer("refused", Rank.BROWSING, 0, LATER, "primary"));
			Expect.instance(Admission.Admitted.class, offer("admitted", Rank.BROWSING, 0, MILLISECOND, "replica"));
		}

		// Guards against accepting work that is certain to expire in the queue, and
		// against refusing work that precedes the queue by its rank or deadline.
		@Test
		void refusesOnlyWorkThatCannotFinishInTime() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("a", 1));
			offer("slow", Rank.STANDARD, 0, LATER, "a");
			GroupSchedulerTests.this.scheduler.finished(GroupSchedulerTests.this.scheduler.dispatch(0).get(0),
					20 * MILLISECOND);
			long now = 20 * MILLISECOND;
			for (int i = 0; i < 20; i++) {
				offer("work" + i, Rank.STANDARD, now, now + 5_000 * MILLISECOND, "a");
			}
			GroupSchedulerTests.this.scheduler.dispatch(now);
			Admission admitted = offer("admitted", Rank.STANDARD, now, now + 5_000 * MILLISECOND, "a");
			Expect.instance(Admission.Admitted.class, admitted);
			offer("blocker", Rank.URGENT, now, now + 5_000 * MILLISECOND, "a");
			Expect.instance(Admission.Admitted.class, offer("early", Rank.STANDARD, now, now + 50 * MILLISECOND, "a"));
			for (int i = 20; i < 300; i++) {
				offer("work" + i, Rank.STANDARD, now, now + 5_000 * MILLISECOND, "a");
			}
			Admission.Refused late = Expect.instance(Admission.Refused.class,
					offer("late", Rank.STANDARD, now, now + 5_000 * MILLISECOND, "a"));
			Expect.equal(ErrorCode.OVERLOADED, late.code());
			Expect.that(late.retryAfterMilliseconds() > 0, "retry-after must be positive");
			Expect.instance(Admission.Admitted.class, offer("urgent", Rank.URGENT, now, now + 100 * MILLISECOND, "a"));
		}

		// Guards against a period of slow statements after which all work is refused.
		@Test
		void estimatesOfSlowStatementsExpire() {
			GroupSchedulerTests.this.scheduler.capacity(Map.of("a", 1));
			long now = 0;
			for (int i = 0; i < 20; i++) {
				offer("slow" + i, Rank.URGENT, now, now + LATER, "a");
				Dispatch<String> slow = GroupSchedulerTests.this.scheduler.dispatch(now).get(0);
				now += 300 * MILLISECOND;
				GroupSchedulerTests.this.scheduler.finished(slow, now);
			}
			Expect.instance(Admission.Refused.class, offer("early", Rank.URGENT, now, now + 200 * MILLISECOND, "a"));
			now += ServiceTimeEstimate.VALIDITY_NANOSECONDS;
			Expect.instance(Admission.Admitted.class, offer("probe", Rank.URGENT, now, now + 200 * MILLISECOND, "a"));
			Expect.equal(List.of("probe"), dispatched(now));
		}

		// Guards against work that is lost, or that runs after its caller received the
		// outcome NOT_RUN.
		@Test
		void expiredWorkIsReturnedOnceAndNeverRuns() {
			offer("expired", Rank.BROWSING, 0, MILLISECOND, "a");
			Expect.equal(MILLISECOND, GroupSchedulerTests.this.scheduler.nextDeadline().orElseThrow());
			GroupSchedulerTests.this.scheduler.capacity(Map.of("a", 1));
			Expect.equal(List.of(), dispatched(MILLISECOND));
			Expect.equal(List.of("expired"), GroupSchedulerTests.this.scheduler.removeExpired(MILLISECOND));
			Expect.equal(List.of(), GroupSchedulerTests.this.scheduler.removeExpired(MILLISECOND));
			Expect.equal(0, GroupSchedulerTests.this.scheduler.waiting(Rank.BROWSING));
		}

	}

	@Nested
	class Floods {

		// Guards against browsing traffic that delays urgent work, against expired work
		// that keeps the queues full after a flood, and against a noisy estimate of the
		// wait that causes refusals afterwards.
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void urgentWorkIsServedInBrowsingFlood(long seed) {
			System.out.println("seed " + seed);
			SchedulerSimulation simulation = new SchedulerSimulation(SchedulingPolicy.RANK_FLOORS, seed);
			simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			Phase flood = simulation.run(SchedulerSimulation.tenfold(Rank.BROWSING), 5_000);
			Phase after = simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			Expect.that(flood.servedShare(Rank.URGENT) >= 0.99, "urgent service " + flood.servedShare(Rank.URGENT));
			Expect.that(flood.servedShare(Rank.STANDARD) >= 0.99,
					"standard service " + flood.servedShare(Rank.STANDARD));
			for (Rank rank : Rank.values()) {
				Expect.that(after.servedShare(rank) >= 0.99,
						rank + " service after the flood " + after.servedShare(rank));
			}
		}

		// Guards against starvation of lower ranks by urgent work.
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3 })
		void lowerRanksKeepFloorsInUrgentFlood(long seed) {
			System.out.println("seed " + seed);
			SchedulerSimulation simulation = new SchedulerSimulation(SchedulingPolicy.RANK_FLOORS, seed);
			simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			Phase flood = simulation.run(SchedulerSimulation.tenfold(Rank.URGENT), 5_000);
			// Urgent work accepted during the flood is served first, for up to its
			// timeout.
			simulation.run(SchedulerSimulation.ORDINARY_LOAD, 500);
			Phase after = simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			// The standard load needs 10% of the slots, which is less than its floor of
			// 15%.
			Expect.that(flood.servedShare(Rank.STANDARD) >= 0.98,
					"standard service " + flood.servedShare(Rank.STANDARD));
			Expect.that(flood.slotShare(Rank.BROWSING) >= 0.099, "browsing share " + flood.slotShare(Rank.BROWSING));
			Expect.that(after.servedShare(Rank.URGENT) >= 0.99,
					"urgent service after " + after.servedShare(Rank.URGENT));
		}

		// Guards against long queues in which work gets a slot just before its deadline
		// and finishes too late.
		@ParameterizedTest
		@EnumSource(value = Rank.class, names = { "URGENT", "BROWSING" })
		void floodsWasteLittleSlotTimeOnLateWork(Rank flooded) {
			SchedulerSimulation simulation = new SchedulerSimulation(SchedulingPolicy.RANK_FLOORS, 5);
			simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
			Phase flood = simulation.run(SchedulerSimulation.tenfold(flooded), 5_000);
			Expect.that(flood.lateShare() <= 0.04, "share of slot time for late work " + flood.lateShare());
		}

		// Guards against starvation of reads that only replicas may serve.
		@Test
		void floorHoldsOnReplicas() {
			SchedulerSimulation simulation = new SchedulerSimulation(SchedulingPolicy.RANK_FLOORS, 4);
			simulation.readSelector((now) -> List.of("replica1", "replica2"));
			Phase flood = simulation.run(SchedulerSimulation.tenfold(Rank.URGENT), 5_000);
			// Two thirds of the slots belong to replicas, so 10% of these are 6.7% of
			// all.
			Expect.that(flood.slotShare(Rank.BROWSING) >= 0.063, "browsing share " + flood.slotShare(Rank.BROWSING));
		}

	}

}
