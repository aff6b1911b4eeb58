package org.magnolialead.engine.quota;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnolialead.engine.quota.SimulatedQuotas.Load;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against operations beyond the rate limit of an account, and against rejections
 * below it, in a simulated fleet of 67 uneven daemons. The bounds are those of
 * docs/hard-load.md.
 */
class QuotaSimulationTests {

	private static final int DAEMONS = 67;

	private final SimulatedQuotas fleet = new SimulatedQuotas(DAEMONS, 1);

	private Load typical(String name, double offered) {
		return this.fleet.account(name, offered * 1.6, Math.max(2, offered), offered);
	}

	private static void print(String name, List<Load> loads) {
		for (Load load : loads) {
			int ideal = SimulatedQuotas.ideal(load.offered(), load.limit(), 1);
			System.out.printf("%s %s offered=%d ideal=%d admitted=%d rejected=%d excess=%.0f%n", name, load.name(),
					load.offered().size(), ideal, load.admitted(), load.rejected(), load.excess());
		}
	}

	@Test
	void fleetAdmitsWhatOneBucketWouldAdmit() {
		List<Load> loads = new ArrayList<>(List.of(typical("large", 150), typical("hot", 40), typical("idle", 0),
				typical("small", 2), typical("tiny", 0.5)));
		this.fleet.limit("idle", 20, 100);
		for (int index = 0; index < 20; index++) {
			loads.add(typical("a" + index, 10));
		}
		this.fleet.run(10);
		loads.get(1).offer(300);
		this.fleet.run(10);
		this.fleet.burst(loads.get(2), 150);
		this.fleet.run(10);
		print("steady", loads);
		System.out.println("messages/s " + this.fleet.messages() / 30);
	}

}
