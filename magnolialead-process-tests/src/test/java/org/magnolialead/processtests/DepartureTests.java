package org.magnolialead.processtests;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnolialead.ctl.load.LoadReport;
import org.magnolialead.testsupport.fleet.FleetOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Members that leave their group and daemons that shut down, both under load.
 */
class DepartureTests {

	private static final String READS = "profile=scheduling,rate=80,kind=read,timeout=2000";

	private static final String WRITES = "profile=scheduling,rate=30,kind=write,timeout=2000";

	private static final String CONFIRMATIONS = "profile=confirmation,rate=10,kind=write,timeout=2000";

	private static TestFleet testFleet;

	@BeforeAll
	static void start() {
		testFleet = TestFleet.start(FleetOptions.small(), false);
	}

	@AfterAll
	static void stop() {
		testFleet.close();
	}

	@AfterEach
	void restore() {
		testFleet.restore();
	}

	/**
	 * Guards against reads that are sent to a leaving replica.
	 */
	@Test
	void leavingReplicaReceivesNoNewReads() {
		String leaving = testFleet.replicas().get(0);
		CompletableFuture<LoadReport> load = testFleet.startLoad(8, READS, WRITES);
		Sleep.forMilliseconds(1_500);
		testFleet.client().post(testFleet.memberAddress(leaving), "/leave");
		awaitLeavingInView(leaving);
		Sleep.forMilliseconds(2_000);
		// From now on, a statement at this member would take longer than its timeout.
		testFleet.controlStandIn(leaving, "service-time?read=60000&write=60000");
		LoadReport report = load.join();
		TestFleet.assertPassed("leaving replica", report);
		JsonNode statistics = testFleet.controlStandIn(leaving, "statistics");
		System.out.println("leaving replica, seed " + TestFleet.SEED + ": " + statistics);
		assertThat(report.mixes().get(0).outcomes().keySet()).as("outcomes of reads").containsOnly("DONE");
		replaceMember(leaving);
	}

	/**
	 * Guards against writes that are sent to a leaving primary, and against a planned
	 * change of the primary that loses writes.
	 */
	@Test
	void leavingPrimaryReceivesNoNewWrites() {
		String leaving = testFleet.primary();
		long term = testFleet.group().orElseThrow().term();
		CompletableFuture<LoadReport> load = testFleet.startLoad(9, READS, WRITES, CONFIRMATIONS);
		Sleep.forMilliseconds(1_500);
		testFleet.client().post(testFleet.memberAddress(leaving), "/leave");
		testFleet.fleet()
			.await("another primary",
					() -> testFleet.group()
						.filter((group) -> group.term() > term && !group.primary().equals(leaving))
						.isPresent());
		int executedBefore = executedWrites(leaving);
		testFleet.fleet().await("writes to the new primary", () -> executedWrites(testFleet.primary()) > 20);
		TestFleet.assertPassed("leaving primary", load.join());
		assertThat(executedWrites(leaving)).as("writes executed by the primary that left").isEqualTo(executedBefore);
		replaceMember(leaving);
	}

	/**
	 * Guards against a graceful shutdown that aborts requests: the owner of the group
	 * shuts down while a load balancer keeps sending requests to it until it reports that
	 * it is not ready.
	 */
	@Test
	void gracefulShutdownOfOwnerAbortsNoRequest() {
		String owner = testFleet.owner();
		try (BalancedLoad balancer = new BalancedLoad(testFleet)) {
			balancer.start();
			testFleet.fleet().await("requests before the shutdown", () -> balancer.completedRequests() > 100);
			long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
			assertThat(testFleet.fleet().process(owner).terminate(deadline)).as("exit code").isPresent();
			assertThat(testFleet.fleet().process(owner).output())
				.contains("graceful shutdown finished: requests_cut=0");
			int doneBefore = balancer.completedRequests();
			testFleet.fleet()
				.await("requests after the shutdown", () -> balancer.completedRequests() > doneBefore + 100);
			balancer.stop();
			System.out.println("graceful shutdown, seed %d: %d requests done, failures %s".formatted(TestFleet.SEED,
					balancer.completedRequests(), balancer.failures()));
			assertThat(balancer.failures()).isEqualTo(List.of());
		}
	}

	/**
	 * Guards against a graceful shutdown that the platform mistakes for a crash because
	 * of its exit code.
	 */
	@Test
	void gracefulShutdownEndsWithCodeZero() {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
		String idle = testFleet.entryOtherThan(testFleet.owner());
		assertThat(testFleet.fleet().process(idle).terminate(deadline)).as("exit code").hasValue(0);
	}

	private static void awaitLeavingInView(String member) {
		testFleet.fleet()
			.await("the member to be known as leaving",
					() -> testFleet.group().orElseThrow().member(member).orElseThrow().leaving());
	}

	private static int executedWrites(String member) {
		return testFleet.controlStandIn(member, "history").path("executed").size();
	}

	/**
	 * Replaces the process of a leaving member by a new one that stays.
	 * @param member name of the member
	 */
	private static void replaceMember(String member) {
		testFleet.fleet().process(testFleet.qualifiedName(member)).kill();
		testFleet.fleet().startMember(TestFleet.GROUP, member);
		testFleet.fleet()
			.await("the member to be back",
					() -> !testFleet.group().orElseThrow().member(member).orElseThrow().leaving());
	}

}
