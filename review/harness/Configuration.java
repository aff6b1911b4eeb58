import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/** Builds configurations as the operator sends them. */
final class Configuration {

	private Configuration() {
	}

	static String route(String name, String host, String type, int timeout, int priority, String service,
			int maximumStaleness) {
		return ("{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"/\",\"type\":\"%s\",\"timeoutMs\":%d,\"sloMs\":200,"
				+ "\"priority\":%d,\"service\":\"%s\",\"attempts\":2%s}").formatted(name, host, type, timeout, priority,
						service, (maximumStaleness > 0) ? ",\"maxStalenessMs\":" + maximumStaleness : "");
	}

	static String service(String name, int connections, int syncReplicas) {
		return ("{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConns\":%d,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"syncReplicas\":%d}").formatted(name, connections, syncReplicas);
	}

	static byte[] of(long version, List<String> routes, List<String> services) {
		return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,"
				+ "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}")
			.formatted(version, String.join(",", routes), String.join(",", services))
			.getBytes(StandardCharsets.UTF_8);
	}

	static String word(Random random, int length) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < length; index++) {
			text.append((char) ('a' + random.nextInt(26)));
		}
		return text.toString();
	}

}
