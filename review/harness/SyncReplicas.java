import java.util.ArrayList;
import java.util.List;

/**
 * A database whose commits are acknowledged once one replica has received them. One
 * replica receives nothing for a while, and the primary crashes meanwhile.
 */
public final class SyncReplicas {

	private static final int ROUNDS = 13;

	private static final long DEAF_MILLISECONDS = 3_500;

	private static final long CRASH_MILLISECONDS = 3_500;

	public static void main(String[] arguments) throws Exception {
		Case.run(arguments, SyncReplicas::play);
	}

	private static boolean play(boolean trouble) throws Exception {
		Cloud cloud = new Cloud();
		Fleet fleet = new Fleet(4, 4, cloud.address(), 6);
		fleet.startAll();
		List<String> control = fleet.controlAddresses();
		Group group = new Group("records", 1);
		cloud.add(group);
		for (int index = 0; index < 3; index++) {
			new Member("i-" + index, group, "zone-" + index, 18, control, 201 + index);
		}
		group.start();
		group.members.values().forEach(Member::start);
		byte[] configuration = Configuration.of(1,
				List.of(Configuration.route("confirm", "confirm", "primary", 800, 0, "records", 0),
						Configuration.route("view", "view", "bounded_staleness", 1200, 2, "records", 1500),
						Configuration.route("change", "change", "read_your_writes", 800, 1, "records", 2500)),
				List.of(Configuration.service("records", 18, 1)));
		if (Http.any(control, "POST", "/Config.Put", configuration, 15_000).status() != 200) {
			throw new CannotRun("no acknowledgement of the configuration");
		}
		fleet.awaitReady(10_000);
		List<String> fronts = new ArrayList<>();
		for (int index = 0; index < fleet.machines.size(); index++) {
			fronts.add(fleet.front(index));
		}
		Load load = new Load(fronts, List.of(new Load.Kind("confirm", 1.5, 0.35, 0), new Load.Kind("view", 1.5, 0, 0.1),
				new Load.Kind("change", 7, 0.12, 0.12)), 60, 105);
		load.start();
		Thread.sleep(4_000);
		for (int round = 0; round < ROUNDS && group.lost.isEmpty(); round++) {
			Member primary = group.primary;
			Member late = group.members.values().stream().filter((member) -> member != primary).findFirst().orElseThrow();
			if (trouble) {
				Record.line("%s receives nothing for %d ms", late.id, DEAF_MILLISECONDS);
				late.deaf = true;
			}
			Thread.sleep(1_000);
			if (trouble) {
				primary.crash();
			}
			Thread.sleep(DEAF_MILLISECONDS - 1_000);
			late.deaf = false;
			Thread.sleep(CRASH_MILLISECONDS - (DEAF_MILLISECONDS - 1_000));
			if (trouble) {
				primary.restart();
			}
			Thread.sleep(2_500);
		}
		load.stop();
		group.stop();
		Record.show("statements served %d, not served %d, commits acknowledged %d, promotions %d", load.served.get(),
				load.notServed.get(), group.acknowledged.size(), group.promotions);
		group.lost.forEach((text) -> Record.show("LOST: %s", text));
		if (load.served.get() < 500 || (trouble && group.promotions == 0)) {
			throw new CannotRun("too little was served, or no member was promoted");
		}
		return !group.lost.isEmpty();
	}

}
