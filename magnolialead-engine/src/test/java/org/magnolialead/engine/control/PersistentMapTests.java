package org.magnolialead.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

/**
 * Guards against missing or additional entries in the structure-sharing map.
 */
class PersistentMapTests {

	private static final long SEED = 20_261;

	@Test
	void equalsHashMapAfterRandomOperationsWithCollidingHashes() {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);
		Map<Key, Integer> model = new HashMap<>();
		PersistentMap<Key, Integer> map = PersistentMap.empty();
		for (int step = 0; step < 20_000; step++) {
			Key key = new Key(random.nextInt(300));
			int choice = random.nextInt(100);
			if (choice < 55) {
				map = map.with(key, step);
				model.put(key, step);
			}
			else {
				map = map.without(key);
				model.remove(key);
			}
			TestChecks.checkEqual(model.get(key), map.get(key), "seed " + SEED + " step " + step);
			TestChecks.checkEqual(model.size(), map.size(), "seed " + SEED + " step " + step);
			if (step % 100 == 0) {
				TestChecks.checkEqual(model, copyOf(map), "seed " + SEED + " step " + step);
			}
		}
		TestChecks.checkEqual(model, copyOf(map), "seed " + SEED);
	}

	@Test
	void earlierVersionIsUnchangedByLaterOperations() {
		PersistentMap<String, String> before = PersistentMap.<String, String>empty().with("a", "1");
		before.with("a", "2").with("b", "3").without("a");
		TestChecks.checkEqual("1", before.get("a"), "value of the earlier version");
		TestChecks.checkEqual(null, before.get("b"), "key added later");
		TestChecks.checkEqual(1, before.size(), "size of the earlier version");
	}

	private static Map<Key, Integer> copyOf(PersistentMap<Key, Integer> map) {
		Map<Key, Integer> copy = new HashMap<>();
		map.forEach(copy::put);
		return copy;
	}

	// Keys have few hash codes, some of which differ only in the bits of the deepest
	// level.
	private record Key(int number) {

		@Override
		public boolean equals(Object other) {
			return other instanceof Key key && key.number == this.number;
		}

		@Override
		public int hashCode() {
			return (this.number % 3) * 0x40000000 + this.number % 60;
		}

	}

}
