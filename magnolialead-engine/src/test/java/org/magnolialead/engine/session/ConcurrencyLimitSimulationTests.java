package org.magnolialead.engine.session;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnolialead.engine.session.SimulatedMembers.Factor;
import org.magnolialead.engine.session.SimulatedMembers.Result;
import org.magnolialead.engine.session.SimulatedMembers.Scenario;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares learned limits with fixed ones and with the choice by smoothed time only.
 */
class ConcurrencyLimitSimulationTests {

	private static final int SEEDS = 3;

	private static final Factor ONE = (seconds, running) -> 1;

	private static final Factor FOUR = (seconds, running) -> 4;

	private static final Factor FLAPPING = (seconds, running) -> ((int) (seconds / 3) % 2 == 0) ? 1 : 8;

	private static final Factor COLD = (seconds, running) -> 1 + 9 * Math.exp(-seconds / 3);

	private static final Factor EARLY = (seconds, running) -> Math.pow(Math.max(1, running - 1), 1.3);

	private static final Factor BURST = (seconds, running) -> (seconds >= 20 && seconds < 20.3) ? 6 : 1;

	static List<Scenario> scenarios() {
		return List.of(new Scenario("steady", 3, 6, 8, 300, 40, ONE, false, 0, 0, ONE),
				new Scenario("slow from the start", 3, 6, 8, 300, 40, FOUR, false, 0, 0, ONE),
				new Scenario("slowing long before full", 3, 6, 8, 300, 40, EARLY, false, 0, 0, ONE),
				new Scenario("slowing long before full, 380/s", 3, 6, 8, 380, 40, EARLY, false, 0, 0, ONE),
				new Scenario("all slowing long before full, 140/s", 3, 6, 8, 140, 40, EARLY, true, 0, 0, ONE),
				new Scenario("flapping", 3, 6, 8, 300, 40, FLAPPING, false, 0, 0, ONE),
				new Scenario("grey", 3, 6, 8, 300, 40, ONE, false, 0.3, 0, ONE),
				new Scenario("cold after a start", 3, 6, 8, 300, 20, COLD, false, 0, 0, ONE),
				new Scenario("40 daemons, steady", 3, 40, 2, 300, 40, ONE, false, 0, 0, ONE),
				new Scenario("40 daemons, slow from the start", 3, 40, 2, 300, 40, FOUR, false, 0, 0, ONE),
				new Scenario("40 daemons, flapping", 3, 40, 2, 300, 40, FLAPPING, false, 0, 0, ONE),
				new Scenario("3% long work", 3, 6, 8, 200, 40, ONE, false, 0, 0.03, ONE),
				new Scenario("short burst", 3, 6, 8, 250, 40, ONE, false, 0, 0, BURST));
	}

	/**
	 * Guards against limits that serve fewer reads in time than the choice by smoothed
	 * time does, in any situation of the work page, or that harm equal members. Prints
	 * the table of docs/design/learned-limits.md.
	 */
	@ParameterizedTest
	@MethodSource("scenarios")
	void learnedLimitsServeNoFewerReadsInTime(Scenario scenario) {
		Result none = average(scenario, SimulatedMembers.NO_LIMIT);
		Result learned = average(scenario, SimulatedMembers.LEARNED);
		System.out.printf("| %s | %s | %s | %s | %s | %s | %s | %s |%n", scenario.name(), none, average(scenario, 1),
				average(scenario, 2), average(scenario, 4), average(scenario, SimulatedMembers.CHOICE_ONLY),
				average(scenario, SimulatedMembers.WAITING), learned);
		assertThat(learned.percentInTime()).isGreaterThanOrEqualTo(none.percentInTime() - 0.1);
		if (scenario.slowness() == ONE) {
			assertThat(learned.meanMilliseconds()).isLessThanOrEqualTo(none.meanMilliseconds());
		}
	}

	private static Result average(Scenario scenario, int policy) {
		List<Result> results = IntStream.rangeClosed(1, SEEDS)
			.mapToObj((seed) -> new SimulatedMembers(scenario, policy, seed).run())
			.toList();
		return new Result(results.stream().mapToDouble(Result::meanMilliseconds).average().orElseThrow(),
				results.stream().mapToDouble(Result::p99Milliseconds).average().orElseThrow(),
				results.stream().mapToDouble(Result::percentInTime).average().orElseThrow());
	}

}
