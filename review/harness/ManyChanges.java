import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * An operator makes hundreds of changes to a configuration of many routes and reads it
 * back at the end. Without the disruption the configuration has three routes.
 */
public final class ManyChanges {

	private static final int CHANGES = 950;

	private static final int MANY_ROUTES = 1_400;

	private static final long CHANGES_MILLISECONDS = 86_000;

	private static final long READ_BACK_MILLISECONDS = 15_000;

	public static void main(String[] arguments) throws Exception {
		Case.run(arguments, ManyChanges::play);
	}

	private static boolean play(boolean trouble) throws Exception {
		Cloud cloud = new Cloud();
		Fleet fleet = new Fleet(4, 0, cloud.address(), 6);
		fleet.startAll();
		List<String> control = fleet.controlAddresses();
		Random random = new Random(7);
		List<String> services = List.of(Configuration.service("records", 18, 0));
		List<String> routes = new ArrayList<>();
		int count = trouble ? MANY_ROUTES : 3;
		for (int index = 0; index < count; index++) {
			routes.add(Configuration.route("r-" + Configuration.word(random, 7), Configuration.word(random, 7) + index,
					"read_your_writes", 800, 1, "records", 2500));
		}
		long end = Record.milliseconds() + CHANGES_MILLISECONDS;
		long acknowledged = 0;
		int unanswered = 0;
		for (int version = 1; version <= CHANGES && Record.milliseconds() < end; version++) {
			int changed = random.nextInt(count);
			routes.set(changed, routes.get(changed).replaceFirst("\"timeoutMs\":\\d+", "\"timeoutMs\":" + (500 + version)));
			byte[] body = Configuration.of(version, routes, services);
			if (body.length > 262_144) {
				throw new CannotRun("configuration of " + body.length + " bytes");
			}
			int status = Http.any(control, "POST", "/Config.Put", body, 5_000).status();
			Record.line("put version %d of %d bytes: %d", version, body.length, status);
			if (status == 200) {
				acknowledged = version;
			}
			else if (++unanswered == 2) {
				break;
			}
			fleet.restartEnded();
			if (fleet.ends.values().stream().filter((times) -> times >= 2).count() >= 2) {
				break;
			}
		}
		Record.show("highest acknowledged version %d", acknowledged);
		if (acknowledged < 100) {
			throw new CannotRun("too few changes were acknowledged");
		}
		long newest = -1;
		long readEnd = Record.milliseconds() + READ_BACK_MILLISECONDS;
		while (Record.milliseconds() < readEnd && newest < acknowledged) {
			fleet.restartEnded();
			Http.Answer answer = Http.any(control, "GET", "/Config.Get", null, 2_000);
			if (answer.status() == 200) {
				String text = new String(answer.body(), StandardCharsets.UTF_8);
				newest = Long.parseLong(text.substring(text.indexOf(':') + 1, text.indexOf(',')));
			}
			Record.line("get: status %d, version %d", answer.status(), newest);
			Thread.sleep(200);
		}
		Record.show("processes that ended by themselves, with how often: %s", fleet.ends);
		Record.show("read back at the end: version %d", newest);
		return newest < acknowledged;
	}

}
