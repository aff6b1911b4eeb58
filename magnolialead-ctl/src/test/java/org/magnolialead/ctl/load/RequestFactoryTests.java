package org.magnolialead.ctl.load;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.magnolialead.ctl.load.RequestFactory.Target;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Selection of the addresses to which the load generator sends requests.
 */
class RequestFactoryTests {

	private static final int ATTEMPTS = 10;

	private static final int SEEDS = 2_000;

	/**
	 * Guards against reads after a run that fail although a daemon is available: with one
	 * of two daemons down, ten randomly chosen addresses all belong to that daemon in one
	 * of 1,024 reads, and a run makes more than a hundred.
	 */
	@Test
	void consecutiveAttemptsReachEveryAddress() {
		List<String> addresses = List.of("down:1", "up:1");
		LoadSettings settings = new LoadSettings(addresses, false, List.of("group"), List.of(), 1, 0, 1, 1, 0, "latest",
				1);
		Target target = new Target("group", false, "latest", null, "", 1_000);
		for (int seed = 0; seed < SEEDS; seed++) {
			RequestFactory requests = new RequestFactory(settings, "run", new Random(seed));
			assertThat(IntStream.range(1, ATTEMPTS)
				.mapToObj(
						(attempt) -> requests.build(target, RequestFactory.statement("get", "key"), attempt).address()))
				.as("addresses, seed %d", seed)
				.containsAll(addresses);
		}
	}

}
