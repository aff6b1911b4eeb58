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
 * Members that drain and daemons that shut down under load.
 */
class DepartureTests {

	private static final String READS = "profile=scheduling,rate=80,kind=read,timeout=2000";

	private static final String WRITES = "profile=scheduling,rate=30,kind=write,timeout=2000";

	private static final String CONFIRMATIONS = "profile=confirmation,rate=10,kind=write,timeout=2000";

	private static TestFleet test;

	@BeforeAll
	static void start() {
		test = TestFleet.start(FleetOptions.small(), false);
	}

	@AfterAll
	static void stop() {
		test.close();
	}

	@AfterEach
	void restore() {
		test.restore();
	}

	/**
	 * Guards against reads that are started at a draining replica.
	 */
	@Test
	void leavingReplicaReceivesNoNewReads() {
		String leaving = test.replicas().get(0);
		CompletableFuture<LoadReport> load = test.load(8, READS, WRITES);
		Sleep.forMilliseconds(1_500);
		test.client().post(test.memberAddress(leaving), "/leave");
		awaitLeavingInView(leaving);
		Sleep.forMilliseconds(2_000);
		// From now on, a statement at this member would take longer than its timeout.
		test.control(leaving, "service-time?read=60000&write=60000");
		LoadReport report = load.join();
		TestFleet.assertPassed("leaving replica", report);
		JsonNode statistics = test.control(leaving, "statistics");
		System.out.println("leaving replica, seed " + TestFleet.SEED + ": " + statistics);
		assertThat(report.mixes().get(0).outcomes().keySet()).as("outcomes of reads").containsOnly("DONE");
		replaceMember(leaving);
	}

	/**
	 * Guards against writes that are started at a draining primary, and against a planned
	 * change of the primary that loses writes.
	 */
	@Test
	void leavingPrimaryReceivesNoNewWrites() {
		String leaving = test.primary();
		long term = test.group().orElseThrow().term();
		CompletableFuture<LoadReport> load = test.load(9, READS, WRITES, CONFIRMATIONS);
		Sleep.forMilliseconds(1_500);
		test.client().post(test.memberAddress(leaving), "/leave");
		test.fleet()
			.await("another primary",
					() -> test.group()
						.filter((group) -> group.term() > term && !group.primary().equals(leaving))
						.isPresent());
		int executedBefore = executedWrites(leaving);
		test.fleet().await("writes to the new primary", () -> executedWrites(test.primary()) > 20);
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
	void gracefulShutdownOfOwnerCutsNoRequest() {
		String owner = test.owner();
		try (BalancedLoad balancer = new BalancedLoad(test)) {
			balancer.start();
			test.fleet().await("requests before the shutdown", () -> balancer.completedRequests() > 100);
			long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
			assertThat(test.fleet().process(owner).terminate(deadline)).as("exit code").isPresent();
			assertThat(test.fleet().process(owner).output()).contains("graceful shutdown finished: requests_cut=0");
			int doneBefore = balancer.completedRequests();
			test.fleet().await("requests after the shutdown", () -> balancer.completedRequests() > doneBefore + 100);
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
		String idle = test.entryOtherThan(test.owner());
		assertThat(test.fleet().process(idle).terminate(deadline)).as("exit code").hasValue(0);
	}

	private static void awaitLeavingInView(String member) {
		test.fleet()
			.await("the member to be known as leaving",
					() -> test.group().orElseThrow().member(member).orElseThrow().leaving());
	}

	private static int executedWrites(String member) {
		return test.control(member, "history").path("executed").size();
	}

	/**
	 * Replaces the process of a draining member by a new one that is not draining.
	 * @param member name of the member
	 */
	private static void replaceMember(String member) {
		test.fleet().process(test.qualifiedName(member)).kill();
		test.fleet().startMember(TestFleet.GROUP, member);
		test.fleet()
			.await("the member to be back", () -> !test.group().orElseThrow().member(member).orElseThrow().leaving());
	}

}
