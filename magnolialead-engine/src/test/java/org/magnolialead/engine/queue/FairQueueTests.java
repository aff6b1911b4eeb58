package org.magnolialead.engine.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Order, shares and expected waits of queued requests.
 */
class FairQueueTests {

	private static final QueueLane PRIMARY = new QueueLane(false, null);

	private static final QueueLane REPLICA = new QueueLane(true, null);

	private static final long COST = 24_000_000L;

	private final FairQueue<String> queue = new FairQueue<>();

	// Guards against any change of the order for fleets without client accounts.
	@Test
	void orderWithoutAccountsIsThatOfPriorityAndArrival() {
		for (int seed = 1; seed <= 50; seed++) {
			Random random = new Random(seed);
			FairQueue<int[]> requests = new FairQueue<>();
			TreeSet<int[]> expected = new TreeSet<>(
					Comparator.<int[]>comparingInt((request) -> request[0]).thenComparingInt((request) -> request[1]));
			for (int number = 0; number < 2_000; number++) {
				boolean added = expected.isEmpty() || random.nextInt(100) < 55;
				if (added) {
					int[] request = { random.nextInt(3), number };
					expected.add(request);
					requests.add(request, request[0], "", random.nextBoolean() ? PRIMARY : REPLICA,
							random.nextInt(100));
				}
				else {
					FairQueue.Entry<int[]> next = requests.scan().next().orElseThrow();
					assertThat(next.request()).as("seed %d", seed).isSameAs(expected.pollFirst());
					requests.grant(next);
				}
				assertThat(requests.size()).isEqualTo(expected.size());
			}
		}
	}

	// Guards against reads that replicas can serve waiting behind requests for a primary
	// that is not there, and against scans that try each of these.
	@Test
	void blockedLaneDelaysNoOtherAndIsTriedOnce() {
		for (int number = 0; number < 500; number++) {
			this.queue.add("write", 0, "", PRIMARY, COST);
		}
		this.queue.add("read", 1, "", REPLICA, COST);
		int[] tried = new int[1];
		List<String> granted = grantAll((request) -> {
			tried[0]++;
			return request.equals("read");
		});
		assertThat(granted).containsExactly("read");
		assertThat(tried[0]).isEqualTo(2);
	}

	// Guards against an account with many requests using up the capacity of the others.
	@Test
	void accountsShareByServiceTime() {
		addAll("large", 1, 300, COST);
		addAll("small", 1, 300, COST);
		addAll("costly", 1, 300, 3 * COST);
		Map<String, Integer> granted = grant(210);
		assertThat(granted.get("large")).isBetween(89, 91);
		assertThat(granted.get("small")).isBetween(89, 91);
		assertThat(granted.get("costly")).isBetween(29, 31);
	}

	// Guards against capacity kept for accounts that do not need it, and against an
	// account that pays later for what it borrowed.
	@Test
	void unusedCapacityIsBorrowed() {
		addAll("large", 1, 300, COST);
		assertThat(grant(100)).containsEntry("large", 100);
		addAll("small", 1, 300, COST);
		assertThat(grant(100).get("large")).isBetween(49, 51);
	}

	// Guards against charging an account for requests that time out in the queue: the
	// account that loses most of its requests would then lose the rest as well.
	@Test
	void removedRequestsAreNotCharged() {
		addAll("large", 1, 1_000, COST);
		addAll("small", 1, 300, COST);
		this.queue.entries()
			.stream()
			.filter((entry) -> entry.request().equals("large"))
			.limit(700)
			.forEach(this.queue::remove);
		assertThat(grant(100).get("large")).isBetween(49, 51);
	}

	// Guards against an account whose lane was blocked taking all connections of the
	// lane once it is free again.
	@Test
	void blockedAccountIsNotGivenBackWhatOthersUsed() {
		for (int number = 0; number < 300; number++) {
			this.queue.add("blocked", 1, "blocked", PRIMARY, COST);
		}
		addAll("other", 1, 500, COST);
		for (int number = 0; number < 100; number++) {
			grantOne((request) -> request.equals("other"));
		}
		assertThat(grant(100).get("blocked")).isBetween(49, 51);
	}

	// Guards against the starvation of a rank while more urgent work always waits.
	@Test
	void lowerRanksKeepTheirShareOfTheGrants() {
		addAll("urgent", 0, 2_000, COST);
		addAll("standard", 1, 2_000, COST);
		addAll("browsing", 2, 2_000, COST);
		grant(100 / FairQueue.RANK_SHARE_PERCENT);
		Map<String, Integer> granted = grant(1_000);
		assertThat(granted.get("standard")).isBetween(50, 60);
		assertThat(granted.get("browsing")).isBetween(50, 60);
	}

	// Guards against many ranks whose shares add up to all grants.
	@Test
	void mostUrgentRankIsServedBesideManyOthers() {
		for (int priority = 0; priority < 40; priority++) {
			addAll((priority == 0) ? "urgent" : "other", priority, 500, COST);
		}
		assertThat(grant(400).get("urgent")).isGreaterThanOrEqualTo(200);
	}

	// Guards against refusing the requests of a small account because a large one has
	// filled the queue, and against a wait without the more urgent ranks.
	@Test
	void expectedWaitFollowsTheOrderOfTheGrants() {
		addAll("large", 1, 100, COST);
		assertThat(this.queue.workAhead(1, "large", true)).isEqualTo(100 * COST);
		assertThat(this.queue.workAhead(1, "small", true)).isLessThanOrEqualTo(COST);
		assertThat(this.queue.workAhead(1, "small", false)).isZero();
		assertThat(this.queue.workAhead(2, "small", true)).isEqualTo(20 * COST);
		assertThat(this.queue.workAhead(0, "small", true)).isZero();
		assertThat(this.queue.requestsAhead(1)).isEqualTo(100);
	}

	// Guards against an estimate from stalled statements that makes each new request
	// count as too late, after which no sample would correct it.
	@Test
	void serviceTimeIsLearnedByRouteAndLimited() {
		ServiceTimes times = new ServiceTimes();
		for (int number = 0; number < 100; number++) {
			times.record("urgent", ServiceTimes.Work.STATEMENT, 8_000_000L);
			times.record("stalled", ServiceTimes.Work.STATEMENT, 1_000_000_000L);
		}
		assertThat(times.expected("urgent", ServiceTimes.Work.STATEMENT, 1_000_000_000L, 1)).isEqualTo(8_000_000L);
		assertThat(times.expected("stalled", ServiceTimes.Work.STATEMENT, 1_000_000_000L, 1)).isEqualTo(500_000_000L);
		assertThat(times.expected("stalled", ServiceTimes.Work.TRANSACTION, 1_000_000_000L, 1)).isEqualTo(1);
	}

	private void addAll(String account, int priority, int number, long cost) {
		for (int index = 0; index < number; index++) {
			this.queue.add(account, priority, account, REPLICA, cost);
		}
	}

	private Map<String, Integer> grant(int number) {
		Map<String, Integer> granted = new HashMap<>();
		for (int index = 0; index < number; index++) {
			granted.merge(grantOne((request) -> true).orElseThrow(), 1, Integer::sum);
		}
		return granted;
	}

	private Optional<String> grantOne(Predicate<String> possible) {
		FairQueue<String>.Scan scan = this.queue.scan();
		Optional<FairQueue.Entry<String>> next = scan.next();
		while (next.isPresent()) {
			if (possible.test(next.get().request())) {
				this.queue.grant(next.get());
				return Optional.of(next.get().request());
			}
			scan.blocked(next.get());
			next = scan.next();
		}
		return Optional.empty();
	}

	private List<String> grantAll(Predicate<String> possible) {
		List<String> granted = new ArrayList<>();
		FairQueue<String>.Scan scan = this.queue.scan();
		Optional<FairQueue.Entry<String>> next = scan.next();
		while (next.isPresent()) {
			if (possible.test(next.get().request())) {
				granted.add(next.get().request());
				this.queue.grant(next.get());
			}
			else {
				scan.blocked(next.get());
			}
			next = scan.next();
		}
		return granted;
	}

}
