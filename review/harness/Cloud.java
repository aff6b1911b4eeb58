import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's {@code POST /promote}, which checks fencing tokens. */
final class Cloud {

	private final Map<String, Long> fences = new HashMap<>();

	private final Map<String, Group> groups = new HashMap<>();

	private final HttpServer server;

	Cloud() throws Exception {
		this.server = HttpServer.create(
				new InetSocketAddress(InetAddress.getByName(Addresses.network() + "200"), 0), 0);
		this.server.createContext("/promote", this::promote);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.start();
	}

	String address() {
		return this.server.getAddress().getAddress().getHostAddress() + ":" + this.server.getAddress().getPort();
	}

	void add(Group group) {
		this.groups.put(group.service, group);
	}

	private void promote(HttpExchange exchange) {
		try (exchange; InputStream input = exchange.getRequestBody()) {
			String body = new String(input.readAllBytes(), StandardCharsets.UTF_8);
			String service = field(body, "service");
			String id = field(body, "id");
			long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
			int status = decide(service, id, fence);
			Record.line("promote %s of %s by %s with fence %d: %d", id, service,
					exchange.getRequestHeaders().getFirst("X-Lease-Holder"), fence, status);
			exchange.sendResponseHeaders(status, -1);
		}
		catch (Exception ex) {
			Record.line("promote failed: %s", ex);
		}
	}

	private synchronized int decide(String service, String id, long fence) throws Exception {
		if (fence < this.fences.getOrDefault(service, 0L)) {
			return 409;
		}
		this.fences.put(service, fence);
		Group group = this.groups.get(service);
		return (group != null && group.promote(id)) ? 200 : 409;
	}

	private static String field(String body, String name) {
		int start = body.indexOf("\"" + name + "\":\"") + name.length() + 4;
		return body.substring(start, body.indexOf('"', start));
	}

}
